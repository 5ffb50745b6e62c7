use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;

use crate::state::chunk_cache::ChunkCache;
use crate::state::{BodyRef, BodyStore};

/// Access of the tables to the body store. Counts the bytes of the bodies in use and caches chunks
/// of input lines.
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

    /// Reads a chunk of input lines and caches it.
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

    /// Total length of all bodies in use. The same on every replica.
    pub(crate) fn live_bytes(&self) -> u64 {
        self.live_bytes.load(Ordering::Relaxed)
    }

    /// Sets the count of live bytes and clears the cache, after a restore.
    pub(crate) fn reset(&self, live_bytes: u64) {
        self.live_bytes.store(live_bytes, Ordering::Relaxed);
        *self.chunks.lock().expect("lock is not poisoned") = ChunkCache::default();
    }
}
