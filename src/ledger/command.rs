use crate::schema::ledger::{command, Command, Outcome};
use crate::schema::ledger::{outcome, Done, JobRefused, NotFound, RefusalReason};

/// A command without a time; the leader stamps it.
pub fn command(command: command::Command) -> Command {
    Command { proposed_at_unix_ms: 0, command: Some(command) }
}

pub(super) fn done() -> Outcome {
    Outcome { outcome: Some(outcome::Outcome::Done(Done {})) }
}

pub(super) fn not_found() -> Outcome {
    Outcome { outcome: Some(outcome::Outcome::NotFound(NotFound {})) }
}

pub(super) fn refused(reason: RefusalReason, waiting_tokens: u64, limit_tokens: u64) -> Outcome {
    let refused = JobRefused { reason: reason.into(), waiting_tokens, limit_tokens };
    Outcome { outcome: Some(outcome::Outcome::JobRefused(refused)) }
}
