use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::state::outcome::Outcome;
use crate::state::refusal::Refusal;
use crate::state::request::Request;

/// Time for which a resent command gets its first answer. Longer than any client retries.
pub(crate) const RESULT_KEPT_MS: u64 = 600_000;
/// Results dropped with one command, more than one command adds.
const DROP_STEP: usize = 8;

/// Outcomes of commands by their id.
#[derive(Debug, Default)]
pub(crate) struct CommandResults {
    by_id: HashMap<Arc<str>, KeptResult>,
    /// Ids in the order in which their results run out.
    order: VecDeque<(u64, Arc<str>)>,
}

#[derive(Clone, Debug)]
pub(crate) struct KeptResult {
    pub(crate) checksum: u32,
    pub(crate) outcome: Arc<Outcome>,
}

impl CommandResults {
    /// The kept outcome of a resent command; a refusal when the id named another command.
    pub(crate) fn find(&self, request: &Request) -> Option<Arc<Outcome>> {
        if request.command_id.is_empty() {
            return None;
        }
        let kept = self.by_id.get(request.command_id.as_str())?;
        if kept.checksum == request.checksum {
            return Some(kept.outcome.clone());
        }
        let message = format!("command id {} named another command before", request.command_id);
        Some(Arc::new(Outcome::Refused(Refusal::key_conflict(message))))
    }

    pub(crate) fn keep(&mut self, command_id: &str, kept: KeptResult, now_unix_ms: u64) {
        self.insert(command_id, kept, now_unix_ms + RESULT_KEPT_MS);
    }

    pub(crate) fn insert(&mut self, command_id: &str, kept: KeptResult, expires_unix_ms: u64) {
        let id: Arc<str> = command_id.into();
        self.by_id.insert(id.clone(), kept);
        self.order.push_back((expires_unix_ms, id));
    }

    /// Drops a few results that ran out.
    pub(crate) fn expire(&mut self, now_unix_ms: u64) {
        for _ in 0..DROP_STEP {
            match self.order.front() {
                Some((expires, _)) if *expires <= now_unix_ms => {}
                _ => return,
            }
            if let Some((_, id)) = self.order.pop_front() {
                self.by_id.remove(&id);
            }
        }
    }

    /// Results with their ids and ends, oldest first.
    pub(crate) fn freeze(&self) -> Vec<(Arc<str>, u64, KeptResult)> {
        let results = self.order.iter();
        results
            .filter_map(|(expires, id)| Some((id.clone(), *expires, self.by_id.get(id)?.clone())))
            .collect()
    }
}
