use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

use crate::state::BodyRef;

/// Chunks of more customers than take turns today, so that each chunk is read about once.
const LIMIT_BYTES: usize = 8 << 20;

/// Chunks of lines that were read last. The lines of a job are read one after the other, between
/// those of the other customers.
#[derive(Default)]
pub(crate) struct ChunkCache {
    chunks: HashMap<(u32, u32), Bytes>,
    /// Oldest first.
    order: VecDeque<(u32, u32)>,
    bytes: usize,
}

impl ChunkCache {
    pub(crate) fn get(&self, body: BodyRef) -> Option<Bytes> {
        self.chunks.get(&(body.segment, body.offset_bytes)).cloned()
    }

    pub(crate) fn insert(&mut self, body: BodyRef, chunk: Bytes) {
        let place = (body.segment, body.offset_bytes);
        self.bytes += chunk.len();
        if let Some(replaced) = self.chunks.insert(place, chunk) {
            self.bytes -= replaced.len();
            return;
        }
        self.order.push_back(place);
        while self.bytes > LIMIT_BYTES {
            let Some(oldest) = self.order.pop_front().and_then(|place| self.chunks.remove(&place))
            else {
                return;
            };
            self.bytes -= oldest.len();
        }
    }
}
