use std::sync::atomic::{AtomicU64, Ordering};

use crate::peer::MessageKind;

/// Bytes of messages from and to the hosts of one availability zone, by kind.
#[derive(Debug, Default)]
pub struct ZoneTraffic {
    received: [AtomicU64; MessageKind::COUNT],
    sent: [AtomicU64; MessageKind::COUNT],
}

impl ZoneTraffic {
    /// Counts a message that was received.
    pub fn record_received(&self, kind: MessageKind, bytes: usize) {
        self.received[kind as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a message that is sent.
    pub fn record_sent(&self, kind: MessageKind, bytes: usize) {
        self.sent[kind as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes received and sent of one kind.
    pub fn bytes(&self, kind: MessageKind) -> (u64, u64) {
        let load = |counts: &[AtomicU64]| counts[kind as usize].load(Ordering::Relaxed);
        (load(&self.received), load(&self.sent))
    }
}
