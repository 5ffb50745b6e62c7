use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use futures::future::{select, Either};

use crate::admission::PlannedStop;
use crate::gateway::{
    CallTarget, GatewayFleet, Prompt, SendError, StreamConnector, StreamRequest, UpstreamAnswer,
    MIN_STALL_LIMIT,
};
use crate::relay::relay_messages::headers_from_wire;
use crate::relay::TransitDelays;
use crate::schema::peer::{reply, RelayedChunk, RelayedRequest, SentAt};
use crate::signal::Signal;
use crate::telemetry::Counters;

/// Most requests that a host relays at a time, so that relaying leaves it room for its own callers. Others are
/// told at once and go to another host.
const RELAY_LIMIT: usize = 128;
/// Time without a read after which a relayed answer is dropped: the host that has the caller is gone.
const UNREAD_LIMIT: Duration = Duration::from_secs(5);
/// Time for which the close of an unknown request is kept. The close overtakes its request by what it takes to run
/// a task, or to read another connection.
const EARLY_CLOSE_LIMIT: Duration = Duration::from_secs(5);
/// Most closes of unknown requests that are kept. All requests that a host relays may be closed at once.
const EARLY_CLOSES: usize = 8 * RELAY_LIMIT;
/// Interval at which answers that nobody reads are looked for.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Sends requests of other hosts to upstreams.
pub struct RelayServer {
    fleet: Arc<GatewayFleet>,
    connector: Arc<dyn StreamConnector>,
    counters: Counters,
    stop: Arc<PlannedStop>,
    relayed: Mutex<HashMap<u64, Relayed>>,
    /// Requests that were closed before they were opened, with the time of the close.
    early_closes: Mutex<HashMap<u64, Instant>>,
    delays: Mutex<TransitDelays>,
}

/// A request that is being relayed. Dropping it ends the upstream's work on it.
struct Relayed {
    /// `None` while the head of the answer is awaited.
    answer: Option<Arc<AsyncMutex<Box<dyn UpstreamAnswer>>>>,
    /// Notified when the asking host closes the request.
    closed: Arc<Signal>,
    last_used: Instant,
}

impl RelayServer {
    /// Starts to relay requests to the upstreams of `fleet`, until `stop` leaves them no time.
    pub fn spawn(
        fleet: Arc<GatewayFleet>,
        connector: Arc<dyn StreamConnector>,
        counters: Counters,
        stop: Arc<PlannedStop>,
    ) -> Arc<Self> {
        let (relayed, early_closes, delays) = Default::default();
        let server =
            Arc::new(Self { fleet, connector, counters, stop, relayed, early_closes, delays });
        task::spawn(drop_unread(server.clone()));
        server
    }

    /// Number of requests that are being relayed.
    pub fn open_requests(&self) -> usize {
        self.relayed().len()
    }

    /// Records when a message of another host was sent, and returns for how long it was held up.
    pub fn record_delay(&self, sent_at: &SentAt) -> Duration {
        let mut delays = self.delays.lock().unwrap_or_else(PoisonError::into_inner);
        delays.record(sent_at, SentAt::now().clock_ms)
    }

    /// Sends a request to its upstream and returns the head of the answer.
    pub async fn open_request(&self, wire: RelayedRequest) -> reply::Reply {
        let relay_id = wire.relay_id;
        match self.send(wire).await {
            Ok(answer) => {
                let head = answer.head().into();
                let mut relayed = self.relayed();
                // Closed meanwhile: the answer is dropped with this call.
                let Some(entry) = relayed.get_mut(&relay_id) else {
                    return failure(&SendError::Lost("the request was closed".to_owned()));
                };
                entry.answer = Some(Arc::new(AsyncMutex::new(answer)));
                entry.last_used = Instant::now();
                reply::Reply::RelayedHead(head)
            }
            Err(error) => {
                self.end_request(relay_id);
                failure(&error)
            }
        }
    }

    /// Reads the next part of an answer.
    pub async fn read(&self, relay_id: u64) -> reply::Reply {
        let known = self.relayed().get_mut(&relay_id).and_then(|relayed| {
            relayed.last_used = Instant::now();
            Some((relayed.answer.clone()?, relayed.closed.clone()))
        });
        let Some((answer, closed)) = known else {
            return failure(&SendError::Lost("the relay does not know the request".to_owned()));
        };
        // A read that takes long must not hold an answer that was closed.
        let chunk =
            self.unless_closed(relay_id, &closed, async { answer.lock().await.next_chunk().await });
        let chunk = chunk.await;
        if let Some(relayed) = self.relayed().get_mut(&relay_id) {
            relayed.last_used = Instant::now();
        }
        match chunk {
            Ok(Some(data)) => reply::Reply::RelayedChunk(RelayedChunk { data }),
            Ok(None) => {
                self.end_request(relay_id);
                reply::Reply::RelayedChunk(RelayedChunk::default())
            }
            Err(error) => {
                self.end_request(relay_id);
                failure(&error)
            }
        }
    }

    /// Ends a request of another host before the end of its answer. The request may still be on its way.
    pub fn close_request(&self, relay_id: u64) {
        // Held while the request is looked up, so that it is not opened in between.
        let mut early_closes = self.early_closes();
        if !self.end_request(relay_id) && early_closes.len() < EARLY_CLOSES {
            early_closes.insert(relay_id, Instant::now());
        }
    }

    /// Ends a request; `false` if it is not known.
    fn end_request(&self, relay_id: u64) -> bool {
        let relayed = self.relayed().remove(&relay_id);
        if let Some(relayed) = &relayed {
            relayed.closed.notify();
        }
        relayed.is_some()
    }

    async fn send(&self, wire: RelayedRequest) -> Result<Box<dyn UpstreamAnswer>, SendError> {
        let upstream = self.fleet.get(&wire.upstream_id);
        let Some(upstream) = upstream.filter(|upstream| upstream.accepts_work) else {
            return Err(SendError::HeldUp("the relay does not know the upstream".to_owned()));
        };
        let held_up = wire.sent_at.as_ref().map_or(Duration::ZERO, |it| self.record_delay(it));
        let left = Duration::from_millis(wire.deadline_ms.into()).saturating_sub(held_up);
        if left.is_zero() || wire.is_repeatable && held_up >= MIN_STALL_LIMIT {
            log::warn!(event = "relayed_request_late", request = wire.request_id.as_str(),
                held_up_ms = held_up.as_millis() as u64, left_ms = left.as_millis() as u64;
                "the asking host may not wait any more; the request is not sent");
            self.counters.count("relay_late");
            return Err(SendError::HeldUp("the request was held up on the way".to_owned()));
        }
        let deadline = Instant::now() + left;
        let closed = Arc::<Signal>::default();
        {
            let mut early_closes = self.early_closes();
            if early_closes.remove(&wire.relay_id).is_some() {
                self.counters.count("relay_closed_early");
                return Err(SendError::HeldUp("the request was closed".to_owned()));
            }
            let mut relayed = self.relayed();
            if relayed.len() >= RELAY_LIMIT {
                self.counters.count("relay_refused");
                return Err(SendError::HeldUp("the relay has no room".to_owned()));
            }
            let entry = Relayed { answer: None, closed: closed.clone(), last_used: Instant::now() };
            relayed.insert(wire.relay_id, entry);
        }
        // Asked once the request counts as open, so that a stopping host waits for what it takes.
        if !self.stop.leaves_time_until(deadline) {
            return Err(SendError::HeldUp("the relay stops before the request ends".to_owned()));
        }
        self.counters.count("request_relayed");
        let target = CallTarget {
            upstream_id: &upstream.upstream_id,
            address: upstream.address,
            deadline,
            last_event_id: wire.last_event_id,
            is_repeatable: wire.is_repeatable,
        };
        let request = StreamRequest {
            request_id: wire.request_id,
            host: wire.host,
            method: wire.method,
            target: wire.target,
            headers: headers_from_wire(wire.headers),
            body: wire.body,
            caller_timeout: Some(left),
            last_event_id: wire.last_event_id,
            resumes: None,
            prompt: Prompt::default(),
            arrived: Instant::now(),
        };
        let send = self.unless_closed(wire.relay_id, &closed, async {
            let sent = timeout(left, self.connector.send(target, &request)).await;
            sent.unwrap_or_else(|_| {
                Err(SendError::Lost("the upstream sent no answer in time".to_owned()))
            })
        });
        send.await
    }

    /// Completes with `work`, or fails once the request is closed.
    async fn unless_closed<T>(
        &self,
        relay_id: u64,
        closed: &Signal,
        work: impl Future<Output = Result<T, SendError>> + Send,
    ) -> Result<T, SendError> {
        let closing = Box::pin(self.until_closed(relay_id, closed));
        let first = select(Box::pin(work), closing).await;
        match first {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(SendError::Lost("the request was closed".to_owned())),
        }
    }

    /// Completes once a request is closed.
    async fn until_closed(&self, relay_id: u64, closed: &Signal) {
        loop {
            let notified = closed.listen();
            if !self.relayed().contains_key(&relay_id) {
                return;
            }
            notified.await;
        }
    }

    fn early_closes(&self) -> MutexGuard<'_, HashMap<u64, Instant>> {
        self.early_closes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn relayed(&self) -> MutexGuard<'_, HashMap<u64, Relayed>> {
        self.relayed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn failure(error: &SendError) -> reply::Reply {
    reply::Reply::RelayFailure(error.into())
}

/// Drops answers that nobody reads any more.
async fn drop_unread(server: Arc<RelayServer>) {
    loop {
        task::sleep(UNREAD_CHECK_INTERVAL).await;
        let now = Instant::now();
        server.early_closes().retain(|_, closed_at| now - *closed_at < EARLY_CLOSE_LIMIT);
        server.relayed().retain(|_, relayed| {
            // A read that waits for the upstream holds a reference to the answer.
            let is_read = relayed.answer.as_ref().is_none_or(|it| Arc::strong_count(it) > 1);
            is_read || now - relayed.last_used < UNREAD_LIMIT
        });
    }
}
