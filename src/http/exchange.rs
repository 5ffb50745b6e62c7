use async_std::net::TcpStream;
use bytes::Bytes;

use crate::http::{BodyReader, BufferLease, Connection, Headers, HttpError, RequestHead};

/// Whether a connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStatus {
    /// The connection may be used for another request.
    KeepAlive,
    /// The connection must be closed.
    Close,
}

/// A request on a server connection and the writer of its response.
pub struct Exchange<'a> {
    connection: &'a mut Connection,
    body: BodyReader,
    keep_alive: bool,
    buffer: Vec<u8>,
}

impl<'a> Exchange<'a> {
    pub(super) fn new(
        connection: &'a mut Connection,
        head: &RequestHead,
        may_keep_alive: bool,
    ) -> Self {
        let keep_alive = head.keep_alive && may_keep_alive;
        let body = BodyReader::new(head.framing);
        Self { connection, body, keep_alive, buffer: Vec::new() }
    }

    /// Reads the whole body of the request. `lease` must live as long as the body is kept.
    ///
    /// # Errors
    /// The errors of [`BodyReader::read_all`].
    pub async fn read_body(
        &mut self,
        limit_bytes: u64,
        lease: &mut BufferLease,
    ) -> Result<Bytes, HttpError> {
        self.body.read_all(self.connection, limit_bytes, lease).await
    }

    /// The underlying socket, to detect a disconnect of the caller.
    pub fn stream(&self) -> TcpStream {
        self.connection.stream().clone()
    }

    /// Whether the caller may still be sending the body of the request.
    pub fn has_unread_body(&self) -> bool {
        !self.body.is_ended()
    }

    /// Sends a response with a complete body.
    ///
    /// # Errors
    /// [`HttpError::Io`] if the connection fails.
    pub async fn respond(
        &mut self,
        status: u16,
        headers: &Headers,
        body: &[u8],
    ) -> Result<ConnectionStatus, HttpError> {
        let mut headers = headers.clone();
        headers.remove("content-length");
        headers.push("Content-Length", body.len().to_string());
        self.write_head(status, headers)?;
        self.buffer.extend_from_slice(body);
        self.flush().await?;
        Ok(self.connection_status())
    }

    /// Starts a response with a chunked body. The head is sent with the first chunk.
    ///
    /// # Errors
    /// [`HttpError::Io`] if the connection fails.
    pub async fn start_chunked(&mut self, status: u16, headers: &Headers) -> Result<(), HttpError> {
        let mut headers = headers.clone();
        headers.remove("content-length");
        headers.push("Transfer-Encoding", "chunked");
        self.write_head(status, headers)?;
        // The buffered head is sent together with the first chunk.
        Ok(())
    }

    /// Sends a chunk of the body; an empty chunk is skipped, since it would end the body.
    ///
    /// # Errors
    /// [`HttpError::Io`] if the connection fails.
    pub async fn send_chunk(&mut self, piece: &[u8]) -> Result<(), HttpError> {
        if piece.is_empty() {
            return Ok(());
        }
        self.buffer.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        self.buffer.extend_from_slice(piece);
        self.buffer.extend_from_slice(b"\r\n");
        self.flush().await
    }

    /// Ends a chunked body.
    ///
    /// # Errors
    /// [`HttpError::Io`] if the connection fails.
    pub async fn finish_chunks(&mut self) -> Result<ConnectionStatus, HttpError> {
        self.buffer.extend_from_slice(b"0\r\n\r\n");
        self.flush().await?;
        Ok(self.connection_status())
    }

    fn connection_status(&self) -> ConnectionStatus {
        match self.keep_alive && self.body.is_ended() {
            true => ConnectionStatus::KeepAlive,
            false => ConnectionStatus::Close,
        }
    }

    fn write_head(&mut self, status: u16, mut headers: Headers) -> Result<(), HttpError> {
        if self.connection_status() == ConnectionStatus::Close {
            headers.push("Connection", "close");
        }
        let line = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        self.buffer.extend_from_slice(line.as_bytes());
        headers.write_to(&mut self.buffer)?;
        self.buffer.extend_from_slice(b"\r\n");
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), HttpError> {
        let written = self.connection.write(&self.buffer).await;
        self.buffer.clear();
        written
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
