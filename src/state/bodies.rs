use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;

use crate::state::chunk_cache::ChunkCache;
use crate::state::{BodyRef, BodyStore};

/// The body store as the tables use it, with a count of live bytes and a cache of lines.
pub(crate) struct Bodies {
    store: Arc<dyn BodyStore>,
    live_bytes: AtomicU64,
    chunks: Mutex<ChunkCache>,
}

impl Bodies {
    pub(crate) fn new(store: Arc<dyn BodyStore>) -> Self {
        Self { store, live_bytes: AtomicU64::new(0), chunks: Mutex::default() }
    }

    pub(crate) fn store(&self) -> &dyn BodyStore {
        &*self.store
    }

    pub(crate) fn append(&self, body: &[u8]) -> BodyRef {
        if body.is_empty() {
            return BodyRef::EMPTY;
        }
        self.live_bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        self.store.append(body)
    }

    pub(crate) fn read(&self, body: BodyRef) -> io::Result<Bytes> {
        if body.is_empty() {
            return Ok(Bytes::new());
        }
        self.store.read(body)
    }

    /// Reads a chunk of lines, and keeps it for the next read.
    pub(crate) fn read_chunk(&self, body: BodyRef) -> io::Result<Bytes> {
        if let Some(chunk) = self.chunks.lock().expect("lock is not poisoned").get(body) {
            return Ok(chunk);
        }
        let chunk = self.read(body)?;
        self.chunks.lock().expect("lock is not poisoned").insert(body, chunk.clone());
        Ok(chunk)
    }

    pub(crate) fn release(&self, body: BodyRef) {
        if body.is_empty() {
            return;
        }
        self.live_bytes.fetch_sub(u64::from(body.len_bytes), Ordering::Relaxed);
        self.store.release(body);
    }

    /// Length of all bodies in use. The same on each replica.
    pub(crate) fn live_bytes(&self) -> u64 {
        self.live_bytes.load(Ordering::Relaxed)
    }

    /// Sets the count after a restore.
    pub(crate) fn reset(&self, live_bytes: u64) {
        self.live_bytes.store(live_bytes, Ordering::Relaxed);
        *self.chunks.lock().expect("lock is not poisoned") = ChunkCache::default();
    }
}
