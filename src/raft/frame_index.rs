use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Location of a frame, and the range of its entries that were not replaced by later frames.
#[derive(Clone, Copy, Debug)]
pub(super) struct Frame {
    pub(super) sequence: u64,
    pub(super) offset: u64,
    pub(super) bytes: u64,
    pub(super) first_index: u64,
    pub(super) last_index: u64,
}

/// The frames of a log in the order of their entries. Locked for single look-ups and changes, never while the disk is
/// used.
#[derive(Debug, Default)]
pub(super) struct FrameIndex {
    frames: Mutex<VecDeque<Frame>>,
}

impl FrameIndex {
    /// Adds the newest frame, which replaces entries of earlier ones.
    pub(super) fn push(&self, frame: Frame) {
        let mut frames = self.lock();
        while frames.back().is_some_and(|last| last.first_index >= frame.first_index) {
            frames.pop_back();
        }
        if let Some(last) = frames.back_mut() {
            last.last_index = last.last_index.min(frame.first_index - 1);
        }
        frames.push_back(frame);
    }

    /// The frame that holds the entry at `index`.
    pub(super) fn find(&self, index: u64) -> Option<Frame> {
        let frames = self.lock();
        let position = frames.partition_point(|frame| frame.last_index < index);
        frames.get(position).filter(|frame| frame.first_index <= index).copied()
    }

    /// Removes the frames of a segment.
    pub(super) fn remove_segment(&self, sequence: u64) {
        self.lock().retain(|frame| frame.sequence != sequence);
    }

    /// Removes all frames.
    pub(super) fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Frame>> {
        self.frames.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
