use std::io;

use futures::{AsyncBufReadExt, AsyncReadExt};

use crate::upstream::ResponseReader;

/// Longest event that is read.
const EVENT_LIMIT_BYTES: u64 = 1024 * 1024;

/// Reads the data of server-sent events.
pub struct SseReader {
    body: Box<dyn ResponseReader>,
    line: Vec<u8>,
}

impl SseReader {
    /// Reads events from a body.
    pub fn new(body: Box<dyn ResponseReader>) -> Self {
        Self { body, line: Vec::new() }
    }

    /// Tells the upstream that the rest is not wanted.
    pub fn cancel(&mut self) {
        self.body.cancel();
    }

    /// Data of the next event, or `None` at the end of the body. A last line without its end was
    /// cut and is not an event.
    pub async fn next(&mut self) -> io::Result<Option<&[u8]>> {
        loop {
            self.line.clear();
            let mut bounded = (&mut self.body).take(EVENT_LIMIT_BYTES);
            bounded.read_until(b'\n', &mut self.line).await?;
            if self.line.len() as u64 == EVENT_LIMIT_BYTES {
                return Err(io::Error::other("event over 1 MiB"));
            }
            if self.line.last() != Some(&b'\n') {
                return Ok(None);
            }
            if self.line.starts_with(b"data:") {
                break;
            }
        }
        Ok(Some(self.line["data:".len()..].trim_ascii()))
    }

    /// Reads to the end of the body; `false` when something other than its end comes.
    pub async fn is_at_end(&mut self) -> bool {
        let mut byte = [0];
        matches!(self.body.read(&mut byte).await, Ok(0))
    }
}
