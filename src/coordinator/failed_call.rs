use std::fmt;

use crate::coordinator::FailureReason;
use crate::raft::LeaderBelief;

/// Most attempts of a call that are described. The first ones tell where a call went; those after them
/// repeat it.
const MAX_ATTEMPTS: usize = 8;

/// How a call to the leader failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// Reason of the last attempt, or of the one whose effect is unknown.
    pub message: String,
    /// Class of that reason.
    pub reason: FailureReason,
    /// The leader that the host believed in at the end.
    pub leader: Option<LeaderBelief>,
    /// Hosts that were asked, with the reason and the time of each, in milliseconds.
    pub attempts: Vec<String>,
}

impl FailedCall {
    /// A call that was not sent to any host.
    pub fn not_tried(message: &str) -> Self {
        let reason = FailureReason::NotTried;
        Self { message: message.to_owned(), reason, leader: None, attempts: Vec::new() }
    }

    /// Adds an attempt that failed.
    pub(super) fn record(
        &mut self,
        address: &str,
        reason: FailureReason,
        message: &str,
        time_ms: u128,
    ) {
        self.message = format!("{address}: {message}");
        self.reason = reason;
        if self.attempts.len() < MAX_ATTEMPTS {
            self.attempts.push(format!("{address}: {message} ({time_ms} ms)"));
        }
    }

    /// The leader that the host believed in, with its term, and the age and the source of that belief.
    pub fn leader_text(&self) -> String {
        self.leader.as_ref().map_or_else(|| "unknown".to_owned(), ToString::to_string)
    }
}

impl fmt::Display for FailedCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}
