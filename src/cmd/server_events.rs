use std::io;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::prelude::BufReadExt;

/// Reads the `data` fields of server-sent events.
pub(super) struct ServerEvents<R> {
    lines: R,
    idle_bound: Duration,
}

impl<R: BufReadExt + Unpin> ServerEvents<R> {
    /// Reads from `lines`; silence of more than `idle_bound` is an error.
    pub(super) fn new(lines: R, idle_bound: Duration) -> Self {
        Self { lines, idle_bound }
    }

    /// Data of the next event; none at the end of the stream.
    pub(super) async fn next(&mut self) -> io::Result<Option<String>> {
        let mut data = String::new();
        loop {
            let mut line = String::new();
            let read = timeout(self.idle_bound, self.lines.read_line(&mut line));
            if read.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? == 0 {
                // An event without its blank line was cut off and does not count.
                return Ok(None);
            }
            let line = line.trim_end_matches(['\r', '\n']);
            if line.is_empty() && !data.is_empty() {
                return Ok(Some(data));
            }
            let Some(part) = line.strip_prefix("data:") else { continue };
            if !data.is_empty() {
                data.push('\n');
            }
            data.push_str(part.strip_prefix(' ').unwrap_or(part));
        }
    }
}
