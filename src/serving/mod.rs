//! Runs requests on upstreams, with retries, resumed streams and recorded answers.

mod answer;
mod answer_format;
mod answer_ledger;
mod attempt;
mod block_hasher;
mod cache_feed;
mod claim_guard;
mod dispatcher;
mod engine_request;
mod online;
mod plain_call;
mod probe;
mod request_identity;
mod running_answer;
mod shared_crash_records;
mod state_calls;
mod trials;
mod upstream_wait;

pub use answer::Answer;
pub use answer_format::AnswerFormat;
pub use answer_ledger::{AnswerLedger, FinishedAnswer};
pub use attempt::{AttemptFailure, AttemptPolicy, FailureCause, NextStep};
pub use block_hasher::BlockHasher;
pub use claim_guard::ClaimGuard;
pub use dispatcher::Dispatcher;
pub use engine_request::EngineRequest;
pub use online::{OnlineAnswer, OnlineRequest, OnlineRun, OnlineService};
pub use plain_call::{PlainAnswer, PlainCall};
pub use request_identity::RequestIdentity;
pub use running_answer::RunningAnswer;
pub use shared_crash_records::SharedCrashRecords;
pub(crate) use state_calls::{control_unavailable, read, submit};
