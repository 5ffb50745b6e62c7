//! Admission control: refusals, retry budgets, fair queues, crash detection and slot leases.

mod admission_policy;
mod batch_policy;
mod crash_detector;
mod crash_records;
mod fair_queue;
mod fingerprint;
mod refusal;
mod rendezvous;
mod retry_budget;
mod slot_cell;
mod slot_demand;
mod slot_exchange;
mod slot_holder;
mod slot_lease;
mod slot_owner;
mod slot_queue;

pub use admission_policy::AdmissionPolicy;
pub use batch_policy::{BatchPolicy, DEFAULT_BATCH_YIELD};
pub use crash_detector::{CrashDetector, CrashVerdict};
pub use crash_records::{CrashRecords, TrialClaim};
pub use fair_queue::{FairQueue, QueueKey, QueuedRequest};
pub use fingerprint::Fingerprint;
pub use refusal::{Refusal, RefusalKind, RunOutcome};
pub use rendezvous::slot_owner;
pub use retry_budget::RetryBudget;
pub use slot_cell::{SlotCell, SlotCounts};
pub use slot_demand::SlotDemand;
pub use slot_exchange::{ExchangeParts, SlotExchange};
pub use slot_holder::{LeaseState, SlotHolder};
pub use slot_lease::{LeaseTimes, SlotLease, UseReport};
pub use slot_owner::SlotOwner;
pub use slot_queue::{QueueEntry, SlotQueue};
