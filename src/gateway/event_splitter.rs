use bytes::{Bytes, BytesMut};

use crate::gateway::event::field;
use crate::gateway::Event;
use crate::http::BufferLease;

/// Largest event. An upstream in trouble may send bytes without end that never complete one.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// Splits the bytes of a stream into complete events. An upstream may fail in the middle of an event; the
/// incomplete event must not reach the caller.
#[derive(Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    lease: BufferLease,
    /// Number of bytes of the buffer that were already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// An empty buffer that grows within `lease`.
    pub fn new(lease: BufferLease) -> Self {
        Self { buffer: BytesMut::new(), lease, searched: 0 }
    }

    /// Appends bytes of the stream to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer; `None` if there is none yet.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end_of_event()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// Counts the incomplete event in the buffer as held. False if it is above the limit of an event,
    /// or all connections together hold too much; the stream must then be given up.
    pub fn may_hold_rest(&mut self) -> bool {
        self.buffer.len() <= EVENT_LIMIT_BYTES && self.lease.resize(self.buffer.len())
    }

    /// True if the buffer holds no part of an event.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Position after the blank line that ends the first event.
    fn end_of_event(&mut self) -> Option<usize> {
        let buffer = &self.buffer[..];
        for position in self.searched..buffer.len() {
            if buffer[position] != b'\n' {
                continue;
            }
            let before = buffer[..position].strip_suffix(b"\r").unwrap_or(&buffer[..position]);
            if before.ends_with(b"\n") {
                return Some(position + 1);
            }
        }
        self.searched = buffer.len();
        None
    }
}

/// Numeric id of an event.
fn event_id(bytes: &Bytes) -> Option<u64> {
    let value = bytes.split(|byte| *byte == b'\n').find_map(|line| field(line, b"id"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
