use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use futures::{AsyncRead, AsyncWrite};

/// Maximum time that a write may stall because the caller does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Poll interval for a disconnect of the caller while unread input is buffered.
const PEEK_INTERVAL: Duration = Duration::from_millis(100);

type Timer = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// State shared by a connection and the handler of its current request.
#[derive(Debug, Default)]
pub struct StreamState {
    head_bytes: AtomicU32,
    reading_head: AtomicBool,
    discards_remaining_input: AtomicBool,
}

impl StreamState {
    /// Marks the start of a request head and resets its byte count.
    pub fn start_head(&self) {
        self.head_bytes.store(0, Ordering::Relaxed);
        self.reading_head.store(true, Ordering::Relaxed);
    }

    /// Marks the request head as fully read.
    pub fn end_head(&self) {
        self.reading_head.store(false, Ordering::Relaxed);
    }

    /// Whether the request head is not fully read yet.
    pub fn is_reading_head(&self) -> bool {
        self.reading_head.load(Ordering::Relaxed)
    }

    /// Stops reading input: reads return end of file, and the connection closes after the response.
    pub fn discard_remaining_input(&self) {
        self.discards_remaining_input.store(true, Ordering::Relaxed);
    }

    /// Whether the rest of the input is discarded, so that the connection must close after the
    /// response.
    pub fn discards_remaining_input(&self) -> bool {
        self.discards_remaining_input.load(Ordering::Relaxed)
    }
}

/// Limits on the head of a request.
#[derive(Clone, Copy, Debug)]
pub struct HeadLimits {
    /// Maximum size of the head.
    pub limit_bytes: u32,
    /// Maximum time between the first and the last byte of the head.
    pub timeout: Duration,
}

/// A caller's connection that limits the size and time of request heads and the time that a write
/// may stall.
pub struct CallerStream {
    stream: TcpStream,
    state: Arc<StreamState>,
    limits: HeadLimits,
    head_timer: Option<Timer>,
    write_timer: Option<Timer>,
}

impl CallerStream {
    /// Wraps a connection; `state` is shared with the handler of the current request.
    pub fn new(stream: TcpStream, state: Arc<StreamState>, limits: HeadLimits) -> Self {
        Self { stream, state, limits, head_timer: None, write_timer: None }
    }

    /// Waits until the caller closes its side of the connection, without consuming input.
    pub async fn wait_until_closed(stream: &TcpStream) {
        let mut byte = [0];
        loop {
            match stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                Ok(_) => task::sleep(PEEK_INTERVAL).await,
            }
        }
    }
}

impl CallerStream {
    /// Adds to the byte count of an incomplete head; returns an error above the limit.
    fn count_head_bytes(&self, read: usize, buffer_bytes: usize) -> io::Result<usize> {
        let total = self.state.head_bytes.fetch_add(read as u32, Ordering::Relaxed);
        // The read that completes the head may include bytes of the body, so the size of the buffer
        // is added to the limit.
        if total > self.limits.limit_bytes + buffer_bytes as u32 {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "head limit"));
        }
        Ok(read)
    }
}

impl Clone for CallerStream {
    fn clone(&self) -> Self {
        Self::new(self.stream.clone(), self.state.clone(), self.limits)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.state.discards_remaining_input() {
            return Poll::Ready(Ok(0));
        }
        if !this.state.reading_head.load(Ordering::Relaxed) {
            return Pin::new(&mut this.stream).poll_read(context, buffer);
        }
        if let Poll::Ready(read) = Pin::new(&mut this.stream).poll_read(context, buffer) {
            return Poll::Ready(this.count_head_bytes(read?, buffer.len()));
        }
        let timeout = this.limits.timeout;
        let timer = this.head_timer.get_or_insert_with(|| Box::pin(task::sleep(timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "head timeout")))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if let Poll::Ready(written) = Pin::new(&mut this.stream).poll_write(context, buffer) {
            this.write_timer = None;
            return Poll::Ready(written);
        }
        let timer = this.write_timer.get_or_insert_with(|| Box::pin(task::sleep(WRITE_TIMEOUT)));
        match timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_close(context)
    }
}
