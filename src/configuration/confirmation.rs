use std::time::Instant;

/// A statement of the control hosts that no version newer than `version` was acknowledged before `confirmed_at`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The newest version.
    pub version: u64,
    /// A time no later than that of the confirmation, on the clock of this host.
    pub confirmed_at: Instant,
    /// Where this host has it from, for the log.
    pub source: String,
}
