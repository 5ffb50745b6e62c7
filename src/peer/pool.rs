use std::collections::HashMap;
use std::sync::{Arc, Mutex as SyncMutex};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_std::sync::Mutex;
use async_std::task;
use async_trait::async_trait;

use crate::peer::connection::Connection;
use crate::peer::{CallError, TrafficClass};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{Call, Hello, Reply};

/// Longest time to wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends calls and one-way messages to peers by their address.
#[async_trait]
pub trait PeerCaller: Send + Sync {
    /// Sends a call and waits for its reply.
    async fn call(
        &self,
        address: &str,
        class: TrafficClass,
        call: Call,
        timeout: Duration,
    ) -> Result<Reply, CallError>;

    /// Sends a one-way message, which is dropped when the peer is slow or away.
    fn send(&self, address: &str, class: TrafficClass, body: Body);
}

/// The connection to one peer for one class of traffic.
#[derive(Default)]
struct Slot {
    current: ArcSwapOption<Connection>,
    /// Held while a connection is opened, so that only one is.
    opening: Mutex<()>,
}

impl Slot {
    fn open_connection(&self) -> Option<Arc<Connection>> {
        self.current.load_full().filter(|connection| !connection.is_closed())
    }
}

/// Connections to peers, opened on first use and kept.
#[derive(Clone)]
pub struct PeerPool {
    shared: Arc<Shared>,
}

struct Shared {
    hello: Hello,
    slots: SyncMutex<HashMap<(String, TrafficClass), Arc<Slot>>>,
}

impl PeerPool {
    /// A pool that introduces itself as `host_id` and shows `key`.
    pub fn open(host_id: &str, incarnation: u64, key: &str) -> Self {
        let hello = Hello {
            host_id: host_id.to_owned(),
            incarnation,
            proof: key.as_bytes().to_vec().into(),
            nonce: Default::default(),
        };
        Self { shared: Arc::new(Shared { hello, slots: SyncMutex::default() }) }
    }

    /// Closes all connections.
    pub fn close(self) {
        self.shared.slots.lock().expect("lock is not poisoned").clear();
    }
}

impl Shared {
    fn slot(&self, address: &str, class: TrafficClass) -> Arc<Slot> {
        let mut slots = self.slots.lock().expect("lock is not poisoned");
        slots.entry((address.to_owned(), class)).or_default().clone()
    }

    async fn connection(
        &self,
        address: &str,
        class: TrafficClass,
    ) -> Result<Arc<Connection>, CallError> {
        let slot = self.slot(address, class);
        if let Some(connection) = slot.open_connection() {
            return Ok(connection);
        }
        let _opening = slot.opening.lock().await;
        if let Some(connection) = slot.open_connection() {
            return Ok(connection);
        }
        let opened = Connection::open(address, self.hello.clone(), CONNECT_TIMEOUT).await;
        let connection =
            Arc::new(opened.map_err(|error| CallError::NotSent(format!("{address}: {error}")))?);
        slot.current.store(Some(connection.clone()));
        Ok(connection)
    }
}

#[async_trait]
impl PeerCaller for PeerPool {
    async fn call(
        &self,
        address: &str,
        class: TrafficClass,
        call: Call,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.shared.connection(address, class).await?.call(call, timeout).await
    }

    fn send(&self, address: &str, class: TrafficClass, body: Body) {
        let slot = self.shared.slot(address, class);
        if let Some(connection) = slot.open_connection() {
            connection.send(body);
            return;
        }
        if slot.opening.try_lock().is_none() {
            // Messages to a peer that does not answer must not pile up behind its connection.
            return;
        }
        let (shared, address) = (self.shared.clone(), address.to_owned());
        task::spawn(async move {
            if let Ok(connection) = shared.connection(&address, class).await {
                connection.send(body);
            }
        });
    }
}
