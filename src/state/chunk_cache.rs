use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

use crate::state::BodyRef;

/// Holds the chunks of more customers than are interleaved in practice, so that each chunk is read
/// from the store about once.
const CAPACITY_BYTES: usize = 8 << 20;

/// Cache of recently read chunks of input lines, evicted first in, first out. The lines of a job
/// are read in order, interleaved with the lines of other customers' jobs.
#[derive(Default)]
pub(crate) struct ChunkCache {
    chunks: HashMap<(u32, u32), Bytes>,
    /// Keys in the order of their insertion, oldest first.
    insertion_order: VecDeque<(u32, u32)>,
    bytes: usize,
}

impl ChunkCache {
    pub(crate) fn get(&self, body: BodyRef) -> Option<Bytes> {
        self.chunks.get(&(body.segment, body.offset_bytes)).cloned()
    }

    pub(crate) fn insert(&mut self, body: BodyRef, chunk: Bytes) {
        let key = (body.segment, body.offset_bytes);
        self.bytes += chunk.len();
        if let Some(replaced) = self.chunks.insert(key, chunk) {
            self.bytes -= replaced.len();
            return;
        }
        self.insertion_order.push_back(key);
        while self.bytes > CAPACITY_BYTES {
            let Some(oldest) =
                self.insertion_order.pop_front().and_then(|key| self.chunks.remove(&key))
            else {
                return;
            };
            self.bytes -= oldest.len();
        }
    }
}
