use std::io;

use futures::{AsyncBufReadExt, AsyncReadExt};

use crate::http::BufferLease;
use crate::upstream::ResponseReader;

/// Maximum size of an event line.
const EVENT_LIMIT_BYTES: u64 = 1024 * 1024;

/// Bytes after which a line that has not ended is counted as held.
const READ_STEP_BYTES: u64 = 64 * 1024;

/// Reads the `data` lines of server-sent events.
pub struct SseReader {
    body: Box<dyn ResponseReader>,
    line: Vec<u8>,
    lease: BufferLease,
}

impl SseReader {
    /// Creates a reader of the events in a response body.
    pub fn new(body: Box<dyn ResponseReader>) -> Self {
        Self { body, line: Vec::new(), lease: BufferLease::for_answer() }
    }

    /// Signals the upstream to cancel the call.
    pub fn cancel(&mut self) {
        self.body.cancel();
    }

    /// Returns the data of the next event, or `None` at the end of the body. Ignores a last line
    /// without a line break, because it may be truncated.
    ///
    /// # Errors
    /// If reading fails, an event and the lines before it are above the limit, or all answers of the
    /// process together hold too much.
    pub async fn next(&mut self) -> io::Result<Option<&[u8]>> {
        let mut skipped_bytes = 0;
        loop {
            self.read_line().await?;
            if self.line.last() != Some(&b'\n') {
                return Ok(None);
            }
            if self.line.starts_with(b"data:") {
                break;
            }
            skipped_bytes += self.line.len() as u64;
            if skipped_bytes > EVENT_LIMIT_BYTES {
                return Err(io::Error::other("over 1 MiB without an event"));
            }
        }
        Ok(Some(self.line["data:".len()..].trim_ascii()))
    }

    /// Reads a line, or what is left of the body.
    async fn read_line(&mut self) -> io::Result<()> {
        self.line.clear();
        loop {
            let mut bounded = (&mut self.body).take(READ_STEP_BYTES);
            let read_bytes = bounded.read_until(b'\n', &mut self.line).await? as u64;
            if self.line.len() as u64 >= EVENT_LIMIT_BYTES {
                return Err(io::Error::other("event over 1 MiB"));
            }
            if !self.lease.resize(self.line.len()) {
                return Err(io::Error::other("all answers together hold too much"));
            }
            if read_bytes < READ_STEP_BYTES || self.line.last() == Some(&b'\n') {
                return Ok(());
            }
        }
    }

    /// Waits for the end of the body. Returns `false` if more data or an error comes instead.
    pub async fn expect_end(&mut self) -> bool {
        let mut byte = [0];
        matches!(self.body.read(&mut byte).await, Ok(0))
    }
}
