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
        Self { response, stream, address: address.to_owned(), idle, finished: false }
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
        this.finished |= read == 0 && !buffer.is_empty();
        Poll::Ready(Ok(read))
    }
}

impl AsyncBufRead for ResponseBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let bytes = ready!(Pin::new(&mut this.response).poll_fill_buf(context))?;
        this.finished |= bytes.is_empty();
        Poll::Ready(Ok(bytes))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.get_mut().response).consume(amount);
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
