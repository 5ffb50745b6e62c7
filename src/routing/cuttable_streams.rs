use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use async_std::channel::Sender;

/// Batch streams at one upstream that may be cut for online requests.
///
/// Only batch work and cuts take the lock; online requests that find a free slot don't.
#[derive(Debug, Default)]
pub struct CuttableStreams {
    streams: Mutex<Streams>,
}

#[derive(Debug, Default)]
struct Streams {
    next_id: u64,
    stops: BTreeMap<u64, Sender<()>>,
}

impl CuttableStreams {
    /// Adds a stream that stops when `stop` is closed; gives its id.
    pub fn add(&self, stop: Sender<()>) -> u64 {
        let mut streams = self.lock();
        streams.next_id += 1;
        let id = streams.next_id;
        streams.stops.insert(id, stop);
        id
    }

    /// Removes a stream that ended.
    pub fn remove(&self, id: u64) {
        self.lock().stops.remove(&id);
    }

    /// Streams that may still be cut.
    pub fn len(&self) -> usize {
        self.lock().stops.len()
    }

    /// True when there is nothing to cut.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Cuts the newest stream, which has the fewest tokens to compute again; `false` for none.
    pub fn cut_newest(&self) -> bool {
        let newest = self.lock().stops.pop_last();
        newest.is_some_and(|(_, stop)| stop.close())
    }

    fn lock(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().expect("lock is not poisoned")
    }
}
