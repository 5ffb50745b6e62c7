//! Decisions on whether a request runs: refusals, limits and shares.

mod crash_detector;
mod crash_records;
mod fingerprint;
mod refusal;
mod retry_budget;

pub use crash_detector::{CrashDetector, CrashStanding};
pub use crash_records::CrashRecords;
pub use fingerprint::Fingerprint;
pub use refusal::{Refusal, RefusalKind, RunOutcome};
pub use retry_budget::RetryBudget;
