use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::state::outcome::Outcome;
use crate::state::proposed_command::ProposedCommand;
use crate::state::refusal::Refusal;

/// How long the outcome of a command is kept for retries. Longer than any client retries.
pub(crate) const RESULT_RETENTION_MS: u64 = 600_000;
/// Upper bound on the expired results that one command removes. Above the one result that a command
/// adds, so that expired results do not pile up.
const EXPIRE_BATCH: usize = 8;

/// Outcomes of recent commands by command id, which make retries idempotent.
#[derive(Debug, Default)]
pub(crate) struct CommandResults {
    by_id: HashMap<Arc<str>, KeptResult>,
    /// Expiration times and command ids, earliest first.
    expirations: VecDeque<(u64, Arc<str>)>,
}

#[derive(Clone, Debug)]
pub(crate) struct KeptResult {
    pub(crate) checksum: u32,
    pub(crate) outcome: Arc<Outcome>,
}

impl CommandResults {
    /// The outcome of an earlier submission of the command. A refusal when the id was used for a
    /// different command.
    pub(crate) fn find(&self, proposed: &ProposedCommand) -> Option<Arc<Outcome>> {
        if proposed.command_id.is_empty() {
            return None;
        }
        let kept = self.by_id.get(proposed.command_id.as_str())?;
        if kept.checksum == proposed.checksum {
            return Some(kept.outcome.clone());
        }
        let message = format!("command id {} named another command before", proposed.command_id);
        Some(Arc::new(Outcome::Refused(Refusal::key_conflict(message))))
    }

    pub(crate) fn keep(&mut self, command_id: &str, kept: KeptResult, now_unix_ms: u64) {
        self.insert(command_id, kept, now_unix_ms + RESULT_RETENTION_MS);
    }

    pub(crate) fn insert(&mut self, command_id: &str, kept: KeptResult, expires_unix_ms: u64) {
        let id: Arc<str> = command_id.into();
        self.by_id.insert(id.clone(), kept);
        self.expirations.push_back((expires_unix_ms, id));
    }

    /// Removes up to [`EXPIRE_BATCH`] expired results.
    pub(crate) fn expire(&mut self, now_unix_ms: u64) {
        for _ in 0..EXPIRE_BATCH {
            match self.expirations.front() {
                Some((expires, _)) if *expires <= now_unix_ms => {}
                _ => return,
            }
            if let Some((_, id)) = self.expirations.pop_front() {
                self.by_id.remove(&id);
            }
        }
    }

    /// Results with their command ids and expiration times, earliest first.
    pub(crate) fn freeze(&self) -> Vec<(Arc<str>, u64, KeptResult)> {
        let results = self.expirations.iter();
        results
            .filter_map(|(expires, id)| Some((id.clone(), *expires, self.by_id.get(id)?.clone())))
            .collect()
    }
}
