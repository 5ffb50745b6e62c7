use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use async_std::net::TcpStream;
use futures::{AsyncBufRead, AsyncRead};
use tide::http::Response;

use crate::upstream::http_connector::IdleConnections;
use crate::upstream::ResponseReader;

/// Body of an upstream's response.
///
/// When dropped after it was read to its end, it returns the connection to the idle pool. When
/// dropped earlier, it closes the connection, upon which the upstream cancels the call.
pub struct ResponseBody {
    response: Response,
    stream: TcpStream,
    address: String,
    idle: Option<IdleConnections>,
    /// Bytes still to be received, if the response head announced a length.
    remaining_bytes: Option<u64>,
    finished: bool,
}

impl ResponseBody {
    /// Wraps a response. `idle` is the pool that the connection returns to; with `None`, the
    /// connection is always closed.
    pub fn new(
        response: Response,
        stream: TcpStream,
        address: &str,
        idle: Option<IdleConnections>,
    ) -> Self {
        let remaining_bytes = response.len().map(|length| length as u64);
        let address = address.to_owned();
        Self { response, stream, address, idle, remaining_bytes, finished: false }
    }

    /// Counts received bytes. Needed because the HTTP library reports a truncated body as complete.
    fn count_read(&mut self, read: usize) {
        if let Some(remaining_bytes) = &mut self.remaining_bytes {
            *remaining_bytes = remaining_bytes.saturating_sub(read as u64);
        }
    }

    /// Marks the body as finished; fails if announced bytes are missing.
    fn mark_finished(&mut self) -> io::Result<()> {
        if self.remaining_bytes.is_some_and(|remaining_bytes| remaining_bytes > 0) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.finished = true;
        Ok(())
    }
}

impl ResponseReader for ResponseBody {
    /// Closes the sending half of the connection, which upstreams treat as a disconnected caller.
    fn cancel(&mut self) {
        self.idle = None;
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}

impl AsyncRead for ResponseBody {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let read = ready!(Pin::new(&mut this.response).poll_read(context, buffer))?;
        if read == 0 && !buffer.is_empty() {
            this.mark_finished()?;
        }
        this.count_read(read);
        Poll::Ready(Ok(read))
    }
}

impl AsyncBufRead for ResponseBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if ready!(Pin::new(&mut this.response).poll_fill_buf(context))?.is_empty() {
            this.mark_finished()?;
            return Poll::Ready(Ok(&[]));
        }
        Pin::new(&mut this.response).poll_fill_buf(context)
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        let this = self.get_mut();
        this.count_read(amount);
        Pin::new(&mut this.response).consume(amount);
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        match self.idle.take().filter(|_| self.finished) {
            Some(idle) => idle.put(&self.address, self.stream.clone()),
            None => {
                let _ = self.stream.shutdown(Shutdown::Both);
            }
        }
    }
}
