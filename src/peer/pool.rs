use std::collections::HashMap;
use std::sync::{Arc, Mutex as SyncMutex};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use async_std::sync::Mutex;
use async_std::task;
use async_trait::async_trait;

use crate::peer::call_gate::{CallGate, Place};
use crate::peer::connection::Connection;
use crate::peer::{CallClass, CallEnd, CallError, TrafficClass};
use crate::schema::ledger::{query, ReadResults};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{call, reply, Call, FailureKind, Hello, Reply};

/// Time limit for the first attempt to connect to a peer; doubled with each failure. The opening packet is
/// lost while a peer starts, and is sent again only after a second, so a new attempt is faster.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time limit for connecting to a peer.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time limit below which a call without a reply tells nothing of its peer: two round trips between regions, a commit and
/// a busy host.
const TELLING_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which the answer to a read tells of a peer, or a link, with too much to do. A read that no leader confirms and
/// that the voters then do takes less.
const SLOW_ANSWER: Duration = Duration::from_millis(400);

/// Sends calls and one-way messages to peers, which are identified by address.
#[async_trait]
pub trait PeerCaller: Send + Sync {
    /// Sends a call and waits for its reply.
    ///
    /// # Errors
    /// [`CallError::NotSent`] if the call could not be sent, [`CallError::Overloaded`] if it was not sent because the
    /// peer is overloaded, [`CallError::Lost`] if it was sent but no reply arrived within `timeout`.
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
    connect_lock: Mutex<ConnectFailures>,
    /// Bound the commits and the reads in flight. They outlive the connection: one that replaces another leads to the
    /// same peer.
    commits: Arc<CallGate>,
    reads: Arc<CallGate>,
}

/// Attempts to connect that failed since the last one that succeeded.
#[derive(Default)]
struct ConnectFailures {
    count: u32,
    /// Time and reason of the last failure.
    last: Option<(Instant, String)>,
}

impl ConnectFailures {
    fn record(&mut self, reason: String) {
        self.count += 1;
        self.last = Some((Instant::now(), reason));
    }

    /// Reason of a failure after `since`.
    fn reason_since(&self, since: Instant) -> Option<&str> {
        self.last.as_ref().filter(|(at, _)| *at >= since).map(|(_, reason)| reason.as_str())
    }

    fn next_timeout(&self) -> Duration {
        (FIRST_CONNECT_TIMEOUT * 2_u32.saturating_pow(self.count.min(8))).min(MAX_CONNECT_TIMEOUT)
    }
}

impl PooledConnection {
    /// The gate of calls of a class; `None` for control calls, which are few.
    fn gate(&self, class: CallClass) -> Option<&Arc<CallGate>> {
        match class {
            CallClass::Control => None,
            CallClass::Commit => Some(&self.commits),
            CallClass::Read => Some(&self.reads),
        }
    }

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
            is_consensus: false,
        };
        Self { shared: Arc::new(Shared { hello, pooled_connections: SyncMutex::default() }) }
    }

    /// Drops the pool's connections; each closes once the calls that use it have ended.
    pub fn close(self) {
        self.shared.pooled_connections.lock().expect("lock is not poisoned").clear();
    }

    /// Returns the open connection to a peer, or connects if there is none. The attempt outlives a call that
    /// has little time, so that a later one finds the connection.
    async fn connection_within(
        &self,
        address: &str,
        class: TrafficClass,
        timeout: Duration,
    ) -> Result<Arc<Connection>, CallError> {
        let pooled = self.shared.pooled_connection(address, class);
        if let Some(connection) = pooled.usable_connection() {
            return Ok(connection);
        }
        let (shared, to) = (self.shared.clone(), address.to_owned());
        let connecting = task::spawn(async move { shared.connection(&to, class).await });
        async_std::future::timeout(timeout, connecting).await.unwrap_or_else(|_| {
            Err(CallError::NotSent(format!("{address}: not connected in the time of the call")))
        })
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
        let started = Instant::now();
        let mut failures = pooled.connect_lock.lock().await;
        if let Some(connection) = pooled.usable_connection() {
            return Ok(connection);
        }
        // The attempt that this call waited for counts for it as well.
        if let Some(reason) = failures.reason_since(started) {
            return Err(CallError::NotSent(reason.to_owned()));
        }
        match Connection::open(address, class, self.hello.clone(), failures.next_timeout()).await {
            Ok(connection) => {
                *failures = ConnectFailures::default();
                let connection = Arc::new(connection);
                pooled.current.store(Some(connection.clone()));
                Ok(connection)
            }
            Err(error) => {
                let reason = format!("{address}: {error}");
                failures.record(reason.clone());
                Err(CallError::NotSent(reason))
            }
        }
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
        let started = Instant::now();
        let call_class = CallClass::of(&call);
        let pooled = self.shared.pooled_connection(address, class);
        // Calls that wait for news would fill the window while they cost the peer nothing.
        let gate = pooled.gate(call_class).filter(|_| !waits_for_news(&call));
        let place = match gate {
            Some(gate) => Some(gate.enter(timeout).await?),
            None => None,
        };
        let left = timeout.saturating_sub(started.elapsed());
        let connection = self.connection_within(address, class, left).await?;
        let left = timeout.saturating_sub(started.elapsed());
        let Some(place) = place else { return connection.call(call, left).await };
        let called = connection.call(call, left).await;
        let end = end_of(&called, left, call_class == CallClass::Read, &place);
        place.end(end);
        called
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
        class.spawn(async move {
            if let Ok(connection) = shared.connection(&address, class).await {
                connection.send(body);
            }
        });
    }
}

/// True for reads whose answer may wait until there is news.
fn waits_for_news(call: &Call) -> bool {
    let Some(call::Call::LedgerQuery(query)) = &call.call else { return false };
    matches!(&query.query, Some(query::Query::ReadResults(ReadResults { wait_ms: 1.., .. })))
}

/// What the end of a call that had `timeout` tells of the peer.
fn end_of(
    called: &Result<Reply, CallError>,
    timeout: Duration,
    is_read: bool,
    place: &Place,
) -> CallEnd {
    match called {
        Ok(Reply { reply: Some(reply::Reply::Failure(failure)) })
            if failure.kind() == FailureKind::Overloaded =>
        {
            CallEnd::Overloaded
        }
        // A host that refuses calls for another reason, as one that does not lead, needs no more of them.
        Ok(Reply { reply: Some(reply::Reply::Failure(_)) }) => CallEnd::Unknown,
        Ok(_) if is_read && place.elapsed() > SLOW_ANSWER => CallEnd::Slow,
        Ok(_) => CallEnd::Answered,
        // A commit may wait for a slow disk, which serves many as fast as one.
        Err(CallError::Lost(_))
            if is_read && timeout >= TELLING_TIMEOUT && place.elapsed() >= timeout =>
        {
            CallEnd::Slow
        }
        Err(_) => CallEnd::Unknown,
    }
}
