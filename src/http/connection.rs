use std::time::Duration;

use async_std::net::TcpStream;
use bytes::BytesMut;
use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::http::{BodyFraming, HttpError, RequestHead, ResponseHead};
use crate::sockets::close_after_response;

/// Size of one read; enough for a typical request or a few events.
const READ_BYTES: usize = 8 << 10;

/// A connection with a buffer of bytes that were read but not consumed yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    pub(super) buffer: BytesMut,
}

impl Connection {
    /// Wraps a socket, with an empty buffer.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: BytesMut::new() }
    }

    /// The underlying socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads more bytes into the buffer and returns their number; 0 at the end of the input.
    pub async fn fill(&mut self) -> Result<usize, HttpError> {
        let mut chunk = [0; READ_BYTES];
        let count = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads the head of the next request; `None` if the caller closed the connection or sent
    /// nothing within `idle_timeout`.
    ///
    /// # Errors
    /// [`HttpError::TooLarge`] above `limit_bytes`, [`HttpError::Timeout`] if the head is not
    /// complete within `head_timeout` after its first byte, and [`HttpError::Closed`] if the
    /// connection closes within the head.
    pub async fn read_request(
        &mut self,
        limit_bytes: usize,
        idle_timeout: Duration,
        head_timeout: Duration,
    ) -> Result<Option<RequestHead>, HttpError> {
        if self.buffer.is_empty() {
            match async_std::future::timeout(idle_timeout, self.fill()).await {
                Err(_) | Ok(Ok(0)) => return Ok(None),
                Ok(result) => result?,
            };
        }
        let head = async_std::future::timeout(head_timeout, self.read_request_head(limit_bytes));
        head.await.map_err(|_| HttpError::Timeout)?.map(Some)
    }

    async fn read_request_head(&mut self, limit_bytes: usize) -> Result<RequestHead, HttpError> {
        loop {
            if let Some((head, length)) = RequestHead::parse(&self.buffer)? {
                if length > limit_bytes {
                    return Err(HttpError::TooLarge);
                }
                let _ = self.buffer.split_to(length);
                return Ok(head);
            }
            if self.buffer.len() > limit_bytes {
                return Err(HttpError::TooLarge);
            }
            if self.fill().await? == 0 {
                return Err(HttpError::Closed);
            }
        }
    }

    /// Reads the head of the final response; skips interim (1xx) responses.
    ///
    /// # Errors
    /// [`HttpError::TooLarge`] if all heads together are above `limit_bytes`, and [`HttpError::Closed`] if the connection
    /// closes before the end of the head.
    pub async fn read_response(&mut self, limit_bytes: usize) -> Result<ResponseHead, HttpError> {
        let mut interim_bytes = 0;
        loop {
            if let Some((head, length)) = ResponseHead::parse(&self.buffer)? {
                let _ = self.buffer.split_to(length);
                if head.status >= 200 {
                    return Ok(head);
                }
                interim_bytes += length;
                if interim_bytes > limit_bytes {
                    return Err(HttpError::TooLarge);
                }
                continue;
            }
            if self.buffer.len() > limit_bytes {
                return Err(HttpError::TooLarge);
            }
            if self.fill().await? == 0 {
                return Err(HttpError::Closed);
            }
        }
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Writes a request and concurrently reads the head of its response. The flag is false if the
    /// response arrived before the whole request was written: the connection must not be reused
    /// then.
    ///
    /// # Errors
    /// The errors of [`Self::read_response`], and [`HttpError::Io`] if the request can't be written and the response has
    /// no length: a reset can't be told from its end then.
    pub async fn round_trip(
        &mut self,
        request: &[u8],
        limit_bytes: usize,
    ) -> Result<(ResponseHead, bool), HttpError> {
        let mut writer = self.stream.clone();
        let mut write = Box::pin(async move { writer.write_all(request).await }.fuse());
        let mut read = Box::pin(self.read_response(limit_bytes).fuse());
        futures::select_biased! {
            head = read => Ok((head?, false)),
            written = write => {
                // The peer may have sent a response before it stopped reading the request.
                let head = read.await;
                match (head, written) {
                    // The failed write has used up the error of the socket, so its end looks like that of the body.
                    (Ok(head), Err(error)) if head.framing == BodyFraming::UntilClose => {
                        Err(error.into())
                    }
                    (Ok(head), result) => Ok((head, result.is_ok())),
                    (Err(_), Err(error)) => Err(error.into()),
                    (Err(error), Ok(())) => Err(error),
                }
            }
        }
    }

    /// Ends the connection after a response to a request that was not read to its end.
    pub async fn close_unread(self) {
        close_after_response(self.stream).await;
    }

    /// Whether the connection is open and has no unread input after the last response, so that it
    /// may be reused.
    pub fn is_reusable(&self) -> bool {
        self.buffer.is_empty() && self.stream.peek(&mut [0]).now_or_never().is_none()
    }
}
