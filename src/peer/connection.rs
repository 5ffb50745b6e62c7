use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::channel::{bounded, Receiver, Sender, TrySendError};
use async_std::net::TcpStream;
use futures::channel::oneshot;
use futures::{AsyncWriteExt, StreamExt};
use tokio_util::codec::{Encoder, FramedRead};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::peer::codec::FrameCodec;
use crate::peer::outgoing_frame::OutgoingFrame;
use crate::peer::{CallError, TrafficClass};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{Call, Frame, Hello, Reply};
use crate::sockets::connect_to_peer;

/// Capacity of the send queue. When it is full, one-way messages are dropped and calls fail. Queues
/// allocate all their places at once, so they hold boxes: with places of the size of a frame, an idle
/// connection took 379 KiB on a control host.
const QUEUE_FRAMES: usize = 1024;
/// Buffered bytes after which queued frames are written to the socket.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Time limit from which on a call tells something of the connection, if no frame of the peer arrives within it.
/// Several round trips between regions, so that a call with little time left says nothing.
const SUSPECT_AFTER: Duration = Duration::from_millis(300);

/// Interval of the probes on connections that carry messages without replies.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// Reply channels of the calls in flight, by call id.
type WaitingCalls = Mutex<HashMap<u64, oneshot::Sender<Reply>>>;

/// Client side of a connection to one peer. Concurrent calls share the connection.
pub struct Connection {
    outgoing: Sender<Box<OutgoingFrame>>,
    waiting: Arc<WaitingCalls>,
    next_call_id: AtomicU64,
    closed: Arc<AtomicBool>,
    opened_at: Instant,
    /// When the first reply is due of the calls that were sent since the last frame of the peer, in milliseconds since
    /// the connection was opened; 0 for none. It holds for calls that were given up as well.
    reply_due_ms: Arc<AtomicU64>,
    probe_limit: Option<Duration>,
    /// When the next probe may be sent, in milliseconds since the connection was opened.
    next_probe_ms: AtomicU64,
}

impl Connection {
    /// Connects to a peer, starts the tasks that read and write frames and sends `hello`, which
    /// names the class.
    ///
    /// # Errors
    /// If `address` is not a socket address or no connection was established within `timeout`.
    pub async fn open(
        address: &str,
        class: TrafficClass,
        hello: Hello,
        timeout: Duration,
    ) -> io::Result<Self> {
        let address = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
        let stream = connect_to_peer(address, timeout).await?;
        let (outgoing, queue) = bounded(QUEUE_FRAMES);
        let waiting = Arc::new(WaitingCalls::default());
        let closed = Arc::new(AtomicBool::new(false));
        class.spawn(write_frames(stream.clone(), queue, FrameCodec::new()));
        let reply_due_ms = Arc::new(AtomicU64::new(0));
        class.spawn(read_replies(stream, waiting.clone(), closed.clone(), reply_due_ms.clone()));
        let (next_call_id, opened_at) = (AtomicU64::new(1), Instant::now());
        let connection = Self {
            outgoing,
            waiting,
            next_call_id,
            closed,
            opened_at,
            reply_due_ms,
            probe_limit: class.probe_limit(),
            next_probe_ms: AtomicU64::new(0),
        };
        let is_consensus = matches!(class, TrafficClass::Consensus | TrafficClass::Replication);
        connection.send(Body::Hello(Hello { is_consensus, ..hello }));
        Ok(connection)
    }

    /// Whether new calls and messages may use the connection; if not, it must be replaced by a new one. Calls in
    /// flight go on: a peer that is only slow still answers them.
    pub fn is_usable(&self) -> bool {
        !self.is_closed() && !self.is_overdue()
    }

    /// True if the connection may deliver nothing any more, though new connections to the peer work.
    fn is_overdue(&self) -> bool {
        let due_ms = self.reply_due_ms.load(Ordering::Acquire);
        due_ms > 0 && self.opened_at.elapsed().as_millis() as u64 >= due_ms
    }

    fn expect_reply(&self, timeout: Duration) {
        if timeout < SUSPECT_AFTER {
            return;
        }
        let due_ms = (self.opened_at.elapsed() + timeout).as_millis() as u64;
        let _ = self.reply_due_ms.fetch_update(Ordering::AcqRel, Ordering::Acquire, |known_ms| {
            (known_ms == 0 || due_ms < known_ms).then_some(due_ms)
        });
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire) || self.outgoing.is_closed()
    }

    /// Enqueues a one-way message. Drops it and returns `false` when the send queue is full or
    /// closed.
    pub fn send(&self, body: Body) -> bool {
        let frame = Frame { call_id: 0, body: Some(body) };
        let is_sent = self.outgoing.try_send(Box::new(OutgoingFrame::new(frame, None))).is_ok();
        self.probe();
        is_sent
    }

    /// Sends an empty call from time to time if nothing else on this connection has a reply. A peer whose kernel takes
    /// bytes that it never gets is thus told from one that has nothing to say.
    fn probe(&self) {
        let Some(limit) = self.probe_limit else { return };
        let now_ms = self.opened_at.elapsed().as_millis() as u64;
        let due_ms = self.next_probe_ms.load(Ordering::Relaxed);
        if now_ms < due_ms {
            return;
        }
        let (next_ms, relaxed) = (now_ms + PROBE_INTERVAL_MS, Ordering::Relaxed);
        // Another thread may be sending the probe.
        if self.next_probe_ms.compare_exchange(due_ms, next_ms, relaxed, relaxed).is_err() {
            return;
        }
        let call_id = self.next_call_id.fetch_add(1, Ordering::Relaxed);
        self.expect_reply(limit);
        // A full queue is as suspect as a reply that does not come.
        let probe = Frame { call_id, body: Some(Body::Call(Call::default())) };
        let _ = self.outgoing.try_send(Box::new(OutgoingFrame::new(probe, None)));
    }

    /// Sends a call and waits for its reply.
    ///
    /// # Errors
    /// [`CallError::NotSent`] if the send queue is full or closed; [`CallError::Lost`] if the
    /// connection closes or `timeout` elapses before the reply arrives.
    pub async fn call(&self, call: Call, timeout: Duration) -> Result<Reply, CallError> {
        let call_id = self.next_call_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.waiting.lock().expect("lock is not poisoned").insert(call_id, sender);
        let _guard = WaitingCallGuard { waiting: &self.waiting, call_id };
        let frame = Frame { call_id, body: Some(Body::Call(call)) };
        let frame = Box::new(OutgoingFrame::new(frame, Some(Instant::now() + timeout)));
        // Before the call is sent: its reply, read by another task, clears the time.
        self.expect_reply(timeout);
        match self.outgoing.try_send(frame) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return Err(CallError::NotSent("peer is slow".into())),
            Err(TrySendError::Closed(_)) => {
                return Err(CallError::NotSent("connection is closed".into()))
            }
        }
        if self.is_closed() {
            return Err(CallError::Lost("connection was closed".into()));
        }
        match async_std::future::timeout(timeout, receiver).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(CallError::Lost("connection was closed".into())),
            Err(_) => Err(CallError::Lost(format!("timeout after {} ms", timeout.as_millis()))),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.outgoing.close();
    }
}

/// Removes a call from the calls in flight when its future completes or is dropped.
struct WaitingCallGuard<'a> {
    waiting: &'a WaitingCalls,
    call_id: u64,
}

impl Drop for WaitingCallGuard<'_> {
    fn drop(&mut self) {
        self.waiting.lock().expect("lock is not poisoned").remove(&self.call_id);
    }
}

/// Writes queued frames to `stream` until the queue is closed or a write fails, then closes both.
/// Frames that are already queued are combined into one write; those that nobody waits for any more are left out.
pub(super) async fn write_frames(
    mut stream: TcpStream,
    queue: Receiver<Box<OutgoingFrame>>,
    mut codec: FrameCodec,
) {
    let mut buffer = bytes::BytesMut::new();
    let mut encode = |mut outgoing: Box<OutgoingFrame>, buffer: &mut bytes::BytesMut| {
        let Some(frame) = outgoing.at(Instant::now()) else { return true };
        codec.encode(frame, buffer).is_ok()
    };
    while let Ok(frame) = queue.recv().await {
        buffer.clear();
        let mut encoded = encode(frame, &mut buffer);
        while encoded && buffer.len() < WRITE_BATCH_BYTES {
            let Ok(frame) = queue.try_recv() else { break };
            encoded = encode(frame, &mut buffer);
        }
        if !encoded || stream.write_all(&buffer).await.is_err() {
            break;
        }
    }
    queue.close();
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Completes the calls in flight with the replies read from `stream`. When the stream ends, marks
/// the connection as closed and fails the remaining calls.
async fn read_replies(
    stream: TcpStream,
    waiting: Arc<WaitingCalls>,
    closed: Arc<AtomicBool>,
    reply_due_ms: Arc<AtomicU64>,
) {
    let mut frames = FramedRead::new(stream.compat(), FrameCodec::new());
    while let Some(Ok(frame)) = frames.next().await {
        reply_due_ms.store(0, Ordering::Release);
        let Some(Body::Reply(reply)) = frame.body else { continue };
        let sender = waiting.lock().expect("lock is not poisoned").remove(&frame.call_id);
        let Some(sender) = sender else { continue };
        let _ = sender.send(reply);
    }
    closed.store(true, Ordering::Release);
    waiting.lock().expect("lock is not poisoned").clear();
}
