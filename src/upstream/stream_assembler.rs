use std::collections::BTreeMap;

use crate::upstream::Chunk;

/// Pieces that may wait for an earlier one before the stream counts as broken.
const HELD_LIMIT: usize = 256;

/// Puts the pieces of one answer in order, each of them once.
#[derive(Debug, Default)]
pub struct StreamAssembler {
    next_position: u64,
    held: BTreeMap<u64, Chunk>,
}

impl StreamAssembler {
    /// An assembler for the rest of an answer from `position` on.
    pub fn starting_at(position: u64) -> Self {
        Self { next_position: position, ..Self::default() }
    }

    /// Position that the next piece must have.
    pub fn next_position(&self) -> u64 {
        self.next_position
    }

    /// True while a piece is missing before others that came.
    pub fn has_gap(&self) -> bool {
        !self.held.is_empty()
    }

    /// Takes a piece as it came. `false` when too many pieces wait for a missing one.
    pub fn push(&mut self, chunk: Chunk) -> bool {
        let position = chunk.position.unwrap_or(self.next_position);
        if position >= self.next_position {
            self.held.entry(position).or_insert(chunk);
        }
        self.held.len() <= HELD_LIMIT
    }

    /// Gives the next piece in order, if it came.
    pub fn pop(&mut self) -> Option<Chunk> {
        let chunk = self.held.remove(&self.next_position)?;
        self.next_position += 1;
        Some(chunk)
    }

    /// Forgets pieces after a gap, as another upstream continues the answer.
    pub fn restart(&mut self) {
        self.held.clear();
    }
}
