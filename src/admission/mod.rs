//! Decisions on whether a request runs and when: refusals, slots, queues and shares.

mod admission_policy;
mod batch_share;
mod fair_queue;
mod refusal;
mod rendezvous;
mod slot_cell;
mod slot_demand;
mod slot_exchange;
mod slot_holder;
mod slot_lease;
mod slot_owner;
mod slot_queue;

pub use admission_policy::AdmissionPolicy;
pub use batch_share::{BatchShare, DEFAULT_BATCH_YIELD};
pub use fair_queue::{FairQueue, QueueKey, QueuedRequest};
pub use refusal::{Refusal, RefusalKind, RunOutcome};
pub use rendezvous::slot_owner;
pub use slot_cell::{SlotCell, SlotCounts};
pub use slot_demand::SlotDemand;
pub use slot_exchange::{ExchangeParts, SlotExchange};
pub use slot_holder::{Lapse, SlotHolder};
pub use slot_lease::{LeaseTimes, SlotLease, UseReport};
pub use slot_owner::SlotOwner;
pub use slot_queue::{QueuePlace, SlotQueue};
