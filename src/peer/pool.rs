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

/// Time limit for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends calls and one-way messages to peers, which are identified by address.
#[async_trait]
pub trait PeerCaller: Send + Sync {
    /// Sends a call and waits for its reply.
    ///
    /// # Errors
    /// [`CallError::NotSent`] if the call could not be sent, [`CallError::Lost`] if it was sent but
    /// no reply arrived within `timeout`.
    async fn call(
        &self,
        address: &str,
        class: TrafficClass,
        call: Call,
        timeout: Duration,
    ) -> Result<Reply, CallError>;

    /// Sends a one-way message. It is dropped when the peer's send queue is full or the peer can't
    /// be reached.
    fn send(&self, address: &str, class: TrafficClass, body: Body);
}

/// The connection to one peer for one class of traffic.
#[derive(Default)]
struct PooledConnection {
    current: ArcSwapOption<Connection>,
    /// Held while connecting, so that concurrent callers open only one connection.
    connect_lock: Mutex<()>,
}

impl PooledConnection {
    /// Returns the current connection if new calls may use it.
    fn usable_connection(&self) -> Option<Arc<Connection>> {
        self.current.load_full().filter(|connection| connection.is_usable())
    }
}

/// Pool of connections to peers, one per address and traffic class. Each is opened on first use,
/// kept open, and replaced after it closed.
#[derive(Clone)]
pub struct PeerPool {
    shared: Arc<Shared>,
}

struct Shared {
    hello: Hello,
    pooled_connections: SyncMutex<HashMap<(String, TrafficClass), Arc<PooledConnection>>>,
}

impl PeerPool {
    /// Creates a pool whose connections identify this host by `host_id`, its availability `zone` and
    /// `incarnation`, and authenticate with `key`.
    pub fn open(host_id: &str, zone: &str, incarnation: u64, key: &str) -> Self {
        let hello = Hello {
            host_id: host_id.to_owned(),
            incarnation,
            proof: key.as_bytes().to_vec().into(),
            nonce: Default::default(),
            zone: zone.to_owned(),
        };
        Self { shared: Arc::new(Shared { hello, pooled_connections: SyncMutex::default() }) }
    }

    /// Drops the pool's connections; each closes once the calls that use it have ended.
    pub fn close(self) {
        self.shared.pooled_connections.lock().expect("lock is not poisoned").clear();
    }
}

impl Shared {
    fn pooled_connection(&self, address: &str, class: TrafficClass) -> Arc<PooledConnection> {
        let mut pooled_connections = self.pooled_connections.lock().expect("lock is not poisoned");
        pooled_connections.entry((address.to_owned(), class)).or_default().clone()
    }

    /// Returns the open connection to a peer, or connects if there is none.
    async fn connection(
        &self,
        address: &str,
        class: TrafficClass,
    ) -> Result<Arc<Connection>, CallError> {
        let pooled = self.pooled_connection(address, class);
        if let Some(connection) = pooled.usable_connection() {
            return Ok(connection);
        }
        let _connect_guard = pooled.connect_lock.lock().await;
        if let Some(connection) = pooled.usable_connection() {
            return Ok(connection);
        }
        let result = Connection::open(address, self.hello.clone(), CONNECT_TIMEOUT).await;
        let connection =
            Arc::new(result.map_err(|error| CallError::NotSent(format!("{address}: {error}")))?);
        pooled.current.store(Some(connection.clone()));
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
        let pooled = self.shared.pooled_connection(address, class);
        if let Some(connection) = pooled.usable_connection() {
            connection.send(body);
            return;
        }
        if pooled.connect_lock.try_lock().is_none() {
            // Another task is connecting. Messages to an unreachable peer must not accumulate while
            // they wait for the connection, so this one is dropped.
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
