use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

/// Lines that may wait for standard output; more are dropped.
const QUEUE_LINES: usize = 2_048;
/// Pause of the writing thread, so that lines that come together cost one write.
const WRITE_INTERVAL: Duration = Duration::from_millis(40);
/// Most bytes gathered into one write.
const WRITE_BYTES: usize = 64 << 10;

/// Writes lines to standard output from a thread of its own; never blocks the thread that logs.
#[derive(Clone)]
pub struct LogWriter {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the writing thread.
    ///
    /// # Errors
    /// If no thread can be started.
    pub fn spawn() -> std::io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        std::thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&queue, &counted))?;
        Ok(Self { lines, dropped })
    }

    /// Queues a line, or counts it as dropped while the queue is full.
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
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = json!({"level": "WARN", "event": "log_lines_dropped", "lines": lost});
            batch.push_str(&line.to_string());
            batch.push('\n');
        }
        // There is nowhere else to report that standard output is gone.
        let _ = std::io::stdout().write_all(batch.as_bytes());
    }
}
