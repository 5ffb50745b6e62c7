use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_std::channel::{bounded, Receiver, Sender};
use futures::channel::oneshot;
use futures::stream::IntoAsyncRead;
use futures::{AsyncBufRead, AsyncRead, Stream, TryStreamExt};

/// Events that may wait for a caller before the producer waits too.
const QUEUE_EVENTS: usize = 32;

/// Body of an answer that is written while it is produced.
pub struct EventBody {
    reader: IntoAsyncRead<Events>,
    _reader_alive: oneshot::Sender<()>,
}

/// The producing side of an [`EventBody`].
pub struct EventSender {
    events: Sender<Vec<u8>>,
    /// Ends when the body is dropped, which means that the caller went away.
    pub reader_gone: oneshot::Receiver<()>,
}

struct Events(Receiver<Vec<u8>>);

impl Stream for Events {
    type Item = io::Result<Vec<u8>>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Pin::new(&mut self.0).poll_next(context).map(|event| event.map(Ok))
    }
}

impl EventBody {
    /// A body and its producing side.
    pub fn open() -> (EventSender, Self) {
        let (events, receiver) = bounded(QUEUE_EVENTS);
        let (alive, reader_gone) = oneshot::channel();
        let reader = Events(receiver).into_async_read();
        (EventSender { events, reader_gone }, Self { reader, _reader_alive: alive })
    }
}

impl EventSender {
    /// Writes one server-sent event. `false` when the caller went away.
    pub async fn event(&self, data: &str) -> bool {
        self.raw(format!("data: {data}\n\n").into_bytes()).await
    }

    /// Writes bytes as they are. `false` when the caller went away.
    pub async fn raw(&self, bytes: Vec<u8>) -> bool {
        self.events.send(bytes).await.is_ok()
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
