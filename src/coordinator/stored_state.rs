use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use futures::future::select;

use crate::coordinator::control_role::lock;
use crate::coordinator::{Coordinator, StateFile};
use crate::schema::peer::StoredUpstreams;
use crate::schema::routes::RouteTable;

/// Interval of the attempts to write a file that could not be written, for example on a full disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Shortest interval at which the upstreams are stored.
const STORE_INTERVAL: Duration = Duration::from_millis(250);

/// What a control host stores for a restart of the whole fleet.
pub(super) struct StoredState {
    /// Routes in force before the last restart of this host.
    pub(super) routes: Arc<RouteTable>,
    route_file: Arc<StateFile<RouteTable>>,
    upstream_file: Arc<StateFile<StoredUpstreams>>,
}

impl StoredState {
    /// Reads the routes from the data folder of a host.
    pub(super) fn open(folder: &Path) -> Self {
        let route_file = StateFile::open(folder, "routes");
        Self {
            routes: Arc::new(route_file.read_if_usable().unwrap_or_default()),
            route_file: Arc::new(route_file),
            upstream_file: Arc::new(StateFile::open(folder, "upstreams")),
        }
    }
}

impl Coordinator {
    /// Lists the upstreams from before the restart until they are silent for as long as any other one.
    pub(super) fn restore_upstreams(&self) {
        let Some(stored) = self.stored.upstream_file.read_if_usable() else { return };
        log::info!(event = "stored_state_read", upstreams = stored.upstreams.len(),
            routes_version = self.stored.routes.version;
            "the state from before the restart holds until newer one is known");
        lock(&self.directory).restore(stored.upstreams, Instant::now());
        self.publish_directory();
    }
}

/// Keeps the file of routes up to date. The disk may be slow or hang, so nothing else waits for it.
pub(super) async fn store_routes(coordinator: Arc<Coordinator>) {
    let mut stored_version = coordinator.stored.routes.version;
    while let Some(watch) = coordinator.watch() {
        let changed = select(watch.changed().listen(), coordinator.ledger_changed.listen());
        let routes = coordinator.routes();
        if routes.version <= stored_version {
            changed.await;
            continue;
        }
        let version = routes.version;
        let file = coordinator.stored.route_file.clone();
        match task::spawn_blocking(move || file.write(&routes)).await {
            Ok(()) => stored_version = version,
            Err(error) => {
                log::warn!(event = "routes_not_stored", version = version; "{error}");
                task::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Keeps the file of upstreams up to date, as [`store_routes`] does.
pub(super) async fn store_upstreams(coordinator: Arc<Coordinator>) {
    let mut stored_version = (0, 0);
    loop {
        let changed = coordinator.upstreams_changed.listen();
        let (version, upstreams) = {
            let directory = lock(&coordinator.directory);
            (directory.version(), directory.changes_since(0, 0))
        };
        if version == stored_version || upstreams.is_empty() {
            changed.await;
            // A wave of changes is stored together.
            task::sleep(STORE_INTERVAL).await;
            continue;
        }
        let file = coordinator.stored.upstream_file.clone();
        let stored = StoredUpstreams { upstreams };
        match task::spawn_blocking(move || file.write(&stored)).await {
            Ok(()) => stored_version = version,
            Err(error) => {
                log::warn!(event = "upstreams_not_stored"; "{error}");
                task::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}
