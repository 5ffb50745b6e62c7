use std::io;

use futures::AsyncBufReadExt;

use crate::upstream::ResponseReader;

/// Longest event that is read.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

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

    /// Data of the next event, or `None` at the end of the body.
    pub async fn next(&mut self) -> io::Result<Option<&[u8]>> {
        loop {
            self.line.clear();
            if self.body.read_until(b'\n', &mut self.line).await? == 0 {
                return Ok(None);
            }
            if self.line.len() > EVENT_LIMIT_BYTES {
                return Err(io::Error::other("event over 1 MiB"));
            }
            if self.line.starts_with(b"data:") {
                break;
            }
        }
        Ok(Some(self.line["data:".len()..].trim_ascii()))
    }
}
