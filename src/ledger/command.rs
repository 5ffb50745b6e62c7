use crate::schema::ledger::{command, Command, Outcome};
use crate::schema::ledger::{outcome, Done, JobRefused, NotFound, RefusalReason};

/// Builds a command without a timestamp, which the leader sets when it proposes the command.
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
