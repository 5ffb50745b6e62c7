use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use async_std::net::TcpStream;
use futures::{AsyncBufRead, AsyncRead};
use tide::http::Response;

use crate::upstream::http_connector::IdleConnections;
use crate::upstream::ResponseReader;

/// Body of an upstream's answer on its connection.
///
/// Read to its end, it gives the connection back for the next call; dropped before, it closes the
/// connection, by which the upstream cancels the call.
pub struct ResponseBody {
    response: Response,
    stream: TcpStream,
    address: String,
    idle: Option<IdleConnections>,
    /// Bytes that are still to come, where the head of the answer said so.
    expected_bytes: Option<u64>,
    finished: bool,
}

impl ResponseBody {
    /// Wraps an answer. `idle` takes the connection back; `None` closes it in any case.
    pub fn new(
        response: Response,
        stream: TcpStream,
        address: &str,
        idle: Option<IdleConnections>,
    ) -> Self {
        let expected_bytes = response.len().map(|length| length as u64);
        let address = address.to_owned();
        Self { response, stream, address, idle, expected_bytes, finished: false }
    }

    /// Counts bytes that were read. The HTTP library gives a body that was cut as if it were whole.
    fn count(&mut self, read: usize) {
        if let Some(expected_bytes) = &mut self.expected_bytes {
            *expected_bytes = expected_bytes.saturating_sub(read as u64);
        }
    }

    fn end(&mut self) -> io::Result<()> {
        if self.expected_bytes.is_some_and(|expected_bytes| expected_bytes > 0) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.finished = true;
        Ok(())
    }
}

impl ResponseReader for ResponseBody {
    /// Closes the sending half, which upstreams see as a caller that went away.
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
            this.end()?;
        }
        this.count(read);
        Poll::Ready(Ok(read))
    }
}

impl AsyncBufRead for ResponseBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if ready!(Pin::new(&mut this.response).poll_fill_buf(context))?.is_empty() {
            this.end()?;
            return Poll::Ready(Ok(&[]));
        }
        Pin::new(&mut this.response).poll_fill_buf(context)
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        let this = self.get_mut();
        this.count(amount);
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
