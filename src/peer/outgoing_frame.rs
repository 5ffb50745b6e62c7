use std::time::Instant;

use crate::schema::peer::frame::Body;
use crate::schema::peer::Frame;

/// A frame that waits to be written.
pub(super) struct OutgoingFrame {
    frame: Frame,
    /// When the caller gives up the call that the frame belongs to; `None` if unknown or if there is none.
    expires_at: Option<Instant>,
}

impl OutgoingFrame {
    /// Creates a frame that nobody waits for after `expires_at`.
    pub(super) fn new(frame: Frame, expires_at: Option<Instant>) -> Self {
        Self { frame, expires_at }
    }

    /// The frame to write now, with the time that the caller has left; `None` if nobody waits for it any more.
    pub(super) fn at(&mut self, now: Instant) -> Option<&Frame> {
        let Some(expires_at) = self.expires_at else { return Some(&self.frame) };
        let left_ms = expires_at.saturating_duration_since(now).as_millis();
        if left_ms == 0 {
            return None;
        }
        if let Some(Body::Call(call)) = &mut self.frame.body {
            call.time_left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        }
        Some(&self.frame)
    }
}
