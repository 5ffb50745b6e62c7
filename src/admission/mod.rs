//! Decisions on whether a request runs and when: refusals, slots, queues and shares.

mod admission_policy;
mod batch_share;
mod fair_queue;
mod refusal;
mod slot_cell;
mod slot_demand;
mod slot_queue;

pub use admission_policy::AdmissionPolicy;
pub use batch_share::{BatchShare, DEFAULT_BATCH_YIELD};
pub use fair_queue::{FairQueue, QueueKey, QueuedRequest};
pub use refusal::{Refusal, RefusalKind, RunOutcome};
pub use slot_cell::{SlotCell, SlotCounts};
pub use slot_demand::SlotDemand;
pub use slot_queue::{QueuePlace, SlotQueue};
