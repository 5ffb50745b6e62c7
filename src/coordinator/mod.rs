//! The control role of a routed fleet: the ledger's replica, the directory of upstreams, and the
//! scheduler of batch items on the leader.

mod control_part;
mod held_questions;
mod item_end;
mod leader_client;
mod online_load;
mod operator;
mod others_use;
mod running_items;
mod scheduler;
mod scheduler_input;
mod upstream_share;

pub use control_part::{Coordinator, CoordinatorOptions};
pub use item_end::ItemEnd;
pub use leader_client::{LeaderClient, LeaderError, LeaderHint};
pub use operator::{InstallOutcome, RetireOutcome};
pub use others_use::OthersUse;
pub use scheduler::Scheduler;
pub use scheduler_input::SchedulerInput;
pub use upstream_share::UpstreamShare;
