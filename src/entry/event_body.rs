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

/// Bytes that may wait for a caller before the producer waits too. Most whole answers fit, so that
/// a slow caller does not keep an upstream's slot.
const QUEUE_BYTES: usize = 256 * 1024;
/// Longest time that the producer waits for a caller that reads nothing.
const READER_TIMEOUT: Duration = Duration::from_secs(10);

/// Body of an answer that is written while it is produced.
pub struct EventBody {
    reader: IntoAsyncRead<Events>,
    _reader_alive: oneshot::Sender<()>,
}

/// The producing side of an [`EventBody`].
pub struct EventSender {
    events: Sender<Vec<u8>>,
    queue: Arc<Queue>,
    /// Ends when the body is dropped, which means that the caller went away.
    pub reader_gone: oneshot::Receiver<()>,
}

/// Whether an event was handed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// The event is queued for the caller.
    Queued,
    /// The caller went away.
    Gone,
    /// The caller has read nothing for too long.
    Stalled,
}

#[derive(Default)]
struct Queue {
    bytes: AtomicUsize,
    has_room: AtomicWaker,
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
        self.queue.has_room.wake();
        if event.is_none() && !self.queue.finished.load(Ordering::Acquire) {
            // An error cuts the connection; an end of the body would look like a whole answer.
            return Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into())));
        }
        Poll::Ready(event.map(Ok))
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        self.events.close();
        self.queue.has_room.wake();
    }
}

impl EventBody {
    /// A body and its producing side.
    pub fn open() -> (EventSender, Self) {
        let (events, receiver) = unbounded();
        let (alive, reader_gone) = oneshot::channel();
        let queue = Arc::new(Queue::default());
        let reader = Events { events: receiver, queue: queue.clone() }.into_async_read();
        (EventSender { events, queue, reader_gone }, Self { reader, _reader_alive: alive })
    }
}

impl EventSender {
    /// Writes one server-sent event, once the queue has room.
    pub async fn event(&self, data: &str) -> Sent {
        let room = poll_fn(|context| self.poll_room(context));
        if future::timeout(READER_TIMEOUT, room).await.is_err() {
            return Sent::Stalled;
        }
        self.push(format!("data: {data}\n\n").into_bytes())
    }

    /// Writes the last event and ends the body. Does not wait for room.
    pub fn finish(self, data: &str) {
        self.queue.finished.store(true, Ordering::Release);
        self.push(format!("data: {data}\n\n").into_bytes());
    }

    fn push(&self, bytes: Vec<u8>) -> Sent {
        // Counted before the event can be read, so that the count never goes below zero.
        self.queue.bytes.fetch_add(bytes.len(), Ordering::AcqRel);
        match self.events.try_send(bytes) {
            Ok(()) => Sent::Queued,
            Err(_) => Sent::Gone,
        }
    }

    fn poll_room(&self, context: &mut Context<'_>) -> Poll<()> {
        let has_room =
            || self.queue.bytes.load(Ordering::Acquire) < QUEUE_BYTES || self.events.is_closed();
        if has_room() {
            return Poll::Ready(());
        }
        self.queue.has_room.register(context.waker());
        // The reader may have made room before the waker was there.
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
