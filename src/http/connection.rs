use std::time::Duration;

use async_std::net::TcpStream;
use bytes::BytesMut;
use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::http::{HttpError, RequestHead, ResponseHead};

/// Bytes asked for in one read; a request or a few events.
const READ_BYTES: usize = 8 << 10;

/// A connection with the bytes that were read and not used yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    pub(super) buffer: BytesMut,
}

impl Connection {
    /// A connection without buffered bytes.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: BytesMut::new() }
    }

    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads more bytes into the buffer; 0 at the end.
    pub async fn fill(&mut self) -> Result<usize, HttpError> {
        let mut chunk = [0; READ_BYTES];
        let count = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads the head of the next request; `None` if the caller closed the connection before one.
    pub async fn read_request(
        &mut self,
        limit_bytes: usize,
        idle: Duration,
        timeout: Duration,
    ) -> Result<Option<RequestHead>, HttpError> {
        if self.buffer.is_empty() {
            match async_std::future::timeout(idle, self.fill()).await {
                Err(_) | Ok(Ok(0)) => return Ok(None),
                Ok(result) => result?,
            };
        }
        let head = async_std::future::timeout(timeout, self.read_request_head(limit_bytes));
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

    /// Reads the head of an answer; heads of interim answers are skipped.
    pub async fn read_response(&mut self, limit_bytes: usize) -> Result<ResponseHead, HttpError> {
        loop {
            if let Some((head, length)) = ResponseHead::parse(&self.buffer)? {
                let _ = self.buffer.split_to(length);
                if head.status >= 200 {
                    return Ok(head);
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

    /// Writes a request while the answer is already read. The flag is false if the answer came
    /// before the whole request was written: the connection then can't be used again.
    pub async fn exchange(
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
                // An answer may have arrived before the other side refused the rest.
                let head = read.await;
                match (head, written) {
                    (Ok(head), result) => Ok((head, result.is_ok())),
                    (Err(_), Err(error)) => Err(error.into()),
                    (Err(error), Ok(())) => Err(error),
                }
            }
        }
    }

    /// True if nothing came on the connection since the last answer, so that it may be used again.
    pub fn is_quiet(&self) -> bool {
        self.buffer.is_empty() && self.stream.peek(&mut [0]).now_or_never().is_none()
    }
}
