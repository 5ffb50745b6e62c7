use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use async_std::channel::Sender;

/// Batch streams at one upstream that may be preempted by online requests.
///
/// Only batch work and preemptions take the lock; online requests that find a free slot don't.
#[derive(Debug, Default)]
pub struct PreemptibleStreams {
    streams: Mutex<Streams>,
}

#[derive(Debug, Default)]
struct Streams {
    next_id: u64,
    stop_senders: BTreeMap<u64, Sender<()>>,
}

impl PreemptibleStreams {
    /// Registers a stream that stops when `stop` is closed, and returns its id.
    pub fn add(&self, stop: Sender<()>) -> u64 {
        let mut streams = self.lock();
        streams.next_id += 1;
        let id = streams.next_id;
        streams.stop_senders.insert(id, stop);
        id
    }

    /// Deregisters a stream that has ended.
    pub fn remove(&self, id: u64) {
        self.lock().stop_senders.remove(&id);
    }

    /// Number of streams that can still be preempted.
    pub fn len(&self) -> usize {
        self.lock().stop_senders.len()
    }

    /// Returns true if no stream can be preempted.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Stops the newest stream, which has the fewest tokens to recompute. Returns false if there is
    /// no stream to stop.
    pub fn preempt_newest(&self) -> bool {
        let newest = self.lock().stop_senders.pop_last();
        newest.is_some_and(|(_, stop)| stop.close())
    }

    fn lock(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().expect("lock is not poisoned")
    }
}
