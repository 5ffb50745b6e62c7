//! Decisions on whether a request runs: refusals, limits and shares.

mod refusal;

pub use refusal::{Refusal, RefusalKind, RunOutcome};
