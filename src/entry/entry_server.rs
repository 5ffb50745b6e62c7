use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task;

use crate::entry::http_server::HttpServer;
use crate::entry::route::Route;
use crate::entry::routes;
use crate::entry::shared::EntryShared;
use crate::serving::AnswerFormat;

/// Upper bound on the time until all hosts learn that a host is leaving.
const LEAVE_PROPAGATION_BOUND_MS: u64 = 2_000;
/// Time at the end of a drain for answers that are ready at the deadline of their request.
const DRAIN_SEND_TIME: Duration = Duration::from_millis(400);
/// Interval at which a drain checks the number of open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The entry role of a host: serves the HTTP interface.
pub struct EntryServer {
    shared: Arc<EntryShared>,
    server: HttpServer,
}

impl EntryServer {
    /// Starts to serve the connections of `listener`.
    pub fn spawn(listener: TcpListener, shared: Arc<EntryShared>) -> io::Result<Self> {
        let app = app(shared.clone());
        let limits = &shared.settings.limits;
        let server = HttpServer::spawn(
            listener,
            app,
            limits,
            shared.counters.clone(),
            shared.request_tracker.clone(),
        )?;
        Ok(Self { shared, server })
    }

    /// Local address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Shared state of the entry host.
    pub fn shared(&self) -> &Arc<EntryShared> {
        &self.shared
    }

    /// Stops the host gracefully: marks it as leaving, keeps serving until callers no longer use an
    /// entry list that contains this host and all requests have finished, then closes the server.
    ///
    /// Waits for at most `drain_bound_ms` of the entry settings.
    pub async fn drain(self) {
        let settings = &self.shared.settings.entry;
        let started = Instant::now();
        let bound = Duration::from_millis(settings.drain_bound_ms);
        self.shared.membership.set_leaving();
        // The bound leaves time to send the answers that end at their deadline.
        let requests_end_by = started + bound - DRAIN_SEND_TIME.min(bound / 8);
        self.shared.request_tracker.start_drain(requests_end_by);
        log::info!("draining with {} open requests", self.shared.request_tracker.open_count());
        let entry_list_lifetime =
            Duration::from_millis(settings.entries_hold_ms + LEAVE_PROPAGATION_BOUND_MS);
        task::sleep(entry_list_lifetime.min(bound)).await;
        let tracker = &self.shared.request_tracker;
        while !tracker.is_idle() && started.elapsed() < bound {
            task::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // A request that came after that look would be cut off by the end of the process.
        tracker.close_intake();
        while !tracker.is_idle() && started.elapsed() < bound {
            task::sleep(DRAIN_POLL_INTERVAL).await;
        }
        if !tracker.is_idle() {
            log::warn!("drain timed out with {} open requests", tracker.open_count());
        }
        self.close().await;
    }

    /// Closes the server without waiting for open requests.
    pub async fn close(self) {
        self.server.close().await;
    }
}

fn app(shared: Arc<EntryShared>) -> tide::Server<()> {
    let mut api = tide::with_state(shared);
    api.at("/v1/entries").get(Route::new(routes::ListEntries));
    api.at("/v1/models").get(Route::new(routes::ListModels));
    for format in [AnswerFormat::Chat, AnswerFormat::Completion] {
        api.at(format.path()).post(Route::new(routes::Completions { format }));
    }
    api.at("/v1/requests/:id").get(Route::new(routes::GetRecordedAnswer));
    api.at("/v1/files").post(Route::new(routes::CreateFile)).get(Route::new(routes::ListFiles));
    api.at("/v1/files/:id").get(Route::new(routes::GetFile)).delete(Route::new(routes::DeleteFile));
    api.at("/v1/files/:id/content").get(Route::new(routes::ReadFileContent));
    api.at("/v1/batches")
        .post(Route::new(routes::CreateBatch))
        .get(Route::new(routes::ListBatches));
    api.at("/v1/batches/:id").get(Route::new(routes::GetBatch));
    api.at("/v1/batches/:id/cancel").post(Route::new(routes::CancelBatch));
    api.at("/v1/batches/:id/results").get(Route::new(routes::ReadResults));
    api.at("/v1/services/:service/*path").all(Route::new(routes::Service));
    api.at("/v1/upstreams/announce").post(Route::new(routes::AnnounceUpstream));
    api.at("/v1/admin/status").get(Route::new(routes::Status));
    api.at("/v1/admin/query").post(Route::new(routes::RunQuery));
    api.at("/v1/admin/replicas").post(Route::new(routes::ChangeReplicas));
    api.at("/v1/admin/drain").post(Route::new(routes::DrainHost));
    api.at("/v1/admin/configuration")
        .get(Route::new(routes::GetConfiguration))
        .post(Route::new(routes::ChangeConfiguration));
    let mut app = tide::new();
    app.at("/").nest(api);
    app
}
