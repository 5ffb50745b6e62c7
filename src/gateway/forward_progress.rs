use std::time::Duration;

use crate::directory::StreamOrigin;
use crate::gateway::rerun_reason::RerunReason;

/// How far the answer to a send came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerStage {
    /// No head was received.
    NotBegun,
    /// The head was received, but nothing of the body.
    Begun,
    /// A part of the body was received.
    HasBody,
}

/// Progress of a request that is being forwarded, over all its sends.
pub(super) struct Progress {
    /// Ids of the upstreams that it was sent to.
    pub(super) tried: Vec<String>,
    /// Number of upstreams that may have run it.
    pub(super) runs: u32,
    /// Number of sends, whether or not the upstream ran it.
    pub(super) sends: u32,
    /// Id of the last event that the caller has.
    pub(super) last_event_id: Option<u64>,
    /// Where the events that the caller has come from; `None` while it has none.
    pub(super) origin: Option<StreamOrigin>,
    /// The head of an answer was sent to the caller.
    pub(super) head_sent: bool,
    /// Everything sent to the caller is whole events with ids, so another upstream can continue after
    /// them.
    pub(super) has_event_ids: bool,
    /// Time from the arrival of the request to its first event.
    pub(super) first_event: Option<Duration>,
    /// How far the answer of the last send came.
    pub(super) stage: AnswerStage,
    /// The last send broke off.
    pub(super) broke_off: bool,
    /// Why the last send failed.
    pub(super) last_error: String,
    /// Why it was sent again after sends that may have run it.
    pub(super) reruns: Vec<RerunReason>,
    /// It was not sent again for lack of a retry budget.
    pub(super) was_withheld: bool,
}

impl Progress {
    /// Progress before the first send; `last_event_id` is the last event that the caller already has, and
    /// `origin` where it comes from.
    pub(super) fn new(last_event_id: Option<u64>, origin: Option<StreamOrigin>) -> Self {
        Self {
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            last_event_id,
            origin,
            head_sent: false,
            has_event_ids: true,
            first_event: None,
            stage: AnswerStage::NotBegun,
            broke_off: false,
            last_error: String::new(),
            reruns: Vec::new(),
            was_withheld: false,
        }
    }

    /// True if what the last send broke off on may be what crashed its upstream: the upstream was
    /// about to write the answer. Streams send their head just before it, so those without a head
    /// still waited.
    pub(super) fn may_have_crashed(&self, is_stream: bool) -> bool {
        let at_begin = match self.stage {
            AnswerStage::NotBegun => !is_stream,
            AnswerStage::Begun => true,
            AnswerStage::HasBody => false,
        };
        self.broke_off && at_begin && self.last_event_id.is_none()
    }

    /// The reasons of all reruns, for log lines.
    pub(super) fn rerun_reasons(&self) -> String {
        let reasons: Vec<&str> = self.reruns.iter().map(|reason| reason.as_str()).collect();
        reasons.join(",")
    }

    /// True if another upstream can continue the answer from here.
    pub(super) fn can_resume(&self) -> bool {
        !self.head_sent || self.has_event_ids
    }
}
