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

/// Time in which the news of a leaving host reaches all hosts.
const SPREAD_BOUND_MS: u64 = 2_000;
/// Pause between two looks at the open requests during a drain.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// The entry role of a host: its HTTP interface.
pub struct Entry {
    shared: Arc<EntryShared>,
    server: HttpServer,
}

impl Entry {
    /// Serves callers on the connections of `listener`.
    pub fn spawn(listener: TcpListener, shared: Arc<EntryShared>) -> io::Result<Self> {
        let app = app(shared.clone());
        let limits = &shared.settings.limits;
        let server = HttpServer::spawn(listener, app, limits, shared.counters.clone())?;
        Ok(Self { shared, server })
    }

    /// Address that the interface got.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// State of the entry host.
    pub fn shared(&self) -> &Arc<EntryShared> {
        &self.shared
    }

    /// Leaves the entries, serves until every answer that named this host has run out and every
    /// request has ended, and stops. Takes at most the drain bound of the settings.
    pub async fn drain(self) {
        let settings = &self.shared.settings.entry;
        let started = Instant::now();
        self.shared.membership.set_leaving();
        self.shared.activity.start_draining();
        log::info!("draining: {} requests are open", self.shared.activity.open());
        let hold = Duration::from_millis(settings.entries_hold_ms + SPREAD_BOUND_MS);
        let bound = Duration::from_millis(settings.drain_bound_ms);
        task::sleep(hold.min(bound)).await;
        while self.shared.activity.open() > 0 && started.elapsed() < bound {
            task::sleep(DRAIN_INTERVAL).await;
        }
        let open = self.shared.activity.open();
        if open > 0 {
            log::warn!("the drain bound passed with {open} requests open");
        }
        self.close().await;
    }

    /// Stops at once.
    pub async fn close(self) {
        self.server.close().await;
    }
}

fn app(shared: Arc<EntryShared>) -> tide::Server<()> {
    let mut api = tide::with_state(shared);
    api.at("/v1/entries").get(Route::new(routes::Entries));
    api.at("/v1/models").get(Route::new(routes::Models));
    for format in [AnswerFormat::Chat, AnswerFormat::Completion] {
        api.at(format.path()).post(Route::new(routes::Completions { format }));
    }
    api.at("/v1/requests/:id").get(Route::new(routes::Recorded));
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
    api.at("/v1/upstreams/announce").post(Route::new(routes::Announce));
    api.at("/v1/admin/status").get(Route::new(routes::Status));
    api.at("/v1/admin/query").post(Route::new(routes::RunQuery));
    api.at("/v1/admin/replicas").post(Route::new(routes::ChangeReplicas));
    api.at("/v1/admin/drain").post(Route::new(routes::Drain));
    api.at("/v1/admin/configuration")
        .get(Route::new(routes::GetConfiguration))
        .post(Route::new(routes::ChangeConfiguration));
    let mut app = tide::new();
    app.at("/").nest(api);
    app
}
