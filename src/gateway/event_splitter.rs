use bytes::{Bytes, BytesMut};

use crate::gateway::event::field;
use crate::gateway::Event;

/// Splits the bytes of a stream into whole events. An upstream may stop inside an event, which then
/// must not reach a caller.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that were searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end_of_event()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(Event { id: id(&bytes), bytes })
    }

    /// True if no part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Place after the blank line that ends the first event.
    fn end_of_event(&mut self) -> Option<usize> {
        let buffer = &self.buffer[..];
        for place in self.searched..buffer.len() {
            if buffer[place] != b'\n' {
                continue;
            }
            let before = buffer[..place].strip_suffix(b"\r").unwrap_or(&buffer[..place]);
            if before.ends_with(b"\n") {
                return Some(place + 1);
            }
        }
        self.searched = buffer.len();
        None
    }
}

fn id(bytes: &Bytes) -> Option<u64> {
    let value = bytes.split(|byte| *byte == b'\n').find_map(|line| field(line, b"id"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
