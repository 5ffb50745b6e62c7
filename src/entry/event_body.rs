use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use async_std::channel::{unbounded, Receiver, Sender};
use async_std::future;
use futures::channel::oneshot;
use futures::stream::IntoAsyncRead;
use futures::task::AtomicWaker;
use futures::{AsyncBufRead, AsyncRead, Stream, TryStreamExt};

/// Queued bytes above which the producer waits for the caller. Most complete answers fit, so a slow
/// caller does not occupy a slot of an upstream.
const QUEUE_BYTES: usize = 256 * 1024;
/// Maximum time that the producer waits for room in the queue.
const QUEUE_ROOM_TIMEOUT: Duration = Duration::from_secs(10);

/// Response body that is sent while it is produced.
pub struct EventBody {
    reader: IntoAsyncRead<Events>,
    _body_alive: oneshot::Sender<()>,
}

/// The producing side of an [`EventBody`].
pub struct EventSender {
    events: Sender<Vec<u8>>,
    queue: Arc<Queue>,
    /// Resolves when the body is dropped, which means that the caller disconnected.
    pub body_dropped: oneshot::Receiver<()>,
}

/// Result of sending an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The event was queued.
    Queued,
    /// The caller disconnected.
    Gone,
    /// The queue had no room within the timeout because the caller does not read.
    Stalled,
}

#[derive(Default)]
struct Queue {
    bytes: AtomicUsize,
    room_waker: AtomicWaker,
    finished: AtomicBool,
}

struct Events {
    events: Receiver<Vec<u8>>,
    queue: Arc<Queue>,
}

impl Stream for Events {
    type Item = io::Result<Vec<u8>>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let event = ready!(Pin::new(&mut self.events).poll_next(context));
        let read_bytes = event.as_ref().map_or(0, Vec::len);
        self.queue.bytes.fetch_sub(read_bytes, Ordering::AcqRel);
        self.queue.room_waker.wake();
        if event.is_none() && !self.queue.finished.load(Ordering::Acquire) {
            // The error makes the server abort the connection: a regular end of the body would make
            // a truncated answer look complete.
            return Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into())));
        }
        Poll::Ready(event.map(Ok))
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        self.events.close();
        self.queue.room_waker.wake();
    }
}

impl EventBody {
    /// Creates a body and its producing side.
    pub fn channel() -> (EventSender, Self) {
        let (events, receiver) = unbounded();
        let (body_alive, body_dropped) = oneshot::channel();
        let queue = Arc::new(Queue::default());
        let reader = Events { events: receiver, queue: queue.clone() }.into_async_read();
        (EventSender { events, queue, body_dropped }, Self { reader, _body_alive: body_alive })
    }
}

impl EventSender {
    /// Queues a server-sent event as soon as the queue has room.
    pub async fn send_event(&self, data: &str) -> SendOutcome {
        let room = poll_fn(|context| self.poll_has_room(context));
        if future::timeout(QUEUE_ROOM_TIMEOUT, room).await.is_err() {
            return SendOutcome::Stalled;
        }
        self.enqueue(format!("data: {data}\n\n").into_bytes())
    }

    /// Queues the last event and ends the body, without waiting for room.
    pub fn finish(self, data: &str) {
        self.queue.finished.store(true, Ordering::Release);
        self.enqueue(format!("data: {data}\n\n").into_bytes());
    }

    fn enqueue(&self, bytes: Vec<u8>) -> SendOutcome {
        // Incremented before the event can be read, so that the counter does not underflow.
        self.queue.bytes.fetch_add(bytes.len(), Ordering::AcqRel);
        match self.events.try_send(bytes) {
            Ok(()) => SendOutcome::Queued,
            Err(_) => SendOutcome::Gone,
        }
    }

    fn poll_has_room(&self, context: &mut Context<'_>) -> Poll<()> {
        let has_room =
            || self.queue.bytes.load(Ordering::Acquire) < QUEUE_BYTES || self.events.is_closed();
        if has_room() {
            return Poll::Ready(());
        }
        self.queue.room_waker.register(context.waker());
        // The reader may have made room before the waker was registered.
        if has_room() {
            return Poll::Ready(());
        }
        Poll::Pending
    }
}

impl AsyncRead for EventBody {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().reader).poll_read(context, buffer)
    }
}

impl AsyncBufRead for EventBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().reader).poll_fill_buf(context)
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.get_mut().reader).consume(amount);
    }
}
