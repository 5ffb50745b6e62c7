use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

/// Capacity of the queue, in lines. Lines are dropped while it is full.
const QUEUE_LINES: usize = 2_048;
/// Time for which the writer thread collects further lines after the first, so that a burst of
/// lines needs a single write.
const WRITE_INTERVAL: Duration = Duration::from_millis(40);
/// Batch size, in bytes, at which the writer thread stops adding lines to a write.
const WRITE_BYTES: usize = 64 << 10;

/// Writes lines to standard output from a dedicated thread, so that logging never blocks the
/// caller. Clones share one queue.
#[derive(Clone)]
pub struct LogWriter {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the writer thread. It stops when all clones are dropped.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn spawn() -> std::io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = dropped.clone();
        std::thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&queue, &writer_dropped))?;
        Ok(Self { lines, dropped })
    }

    /// Enqueues a line. If the queue is full, the line is dropped and counted.
    pub fn write(&self, line: String) {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(queue: &Receiver<String>, dropped: &AtomicU64) {
    let mut batch = String::new();
    while let Ok(first) = queue.recv() {
        batch.clear();
        batch.push_str(&first);
        batch.push('\n');
        std::thread::sleep(WRITE_INTERVAL);
        while batch.len() < WRITE_BYTES {
            let Ok(line) = queue.try_recv() else { break };
            batch.push_str(&line);
            batch.push('\n');
        }
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            let line =
                json!({"level": "WARN", "event": "log_lines_dropped", "lines": dropped_count});
            batch.push_str(&line.to_string());
            batch.push('\n');
        }
        // If standard output is closed, there is no other place to report the error.
        let _ = std::io::stdout().write_all(batch.as_bytes());
    }
}
