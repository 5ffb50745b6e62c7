//! The control role of a routed fleet. Each control host runs a replica of the ledger and a
//! directory of upstreams; the leader also schedules the batch items.

mod control_role;
mod entry_sync;
mod failed_call;
mod failure_reason;
mod fleet_relay;
mod free_places;
mod item_end;
mod job_plan;
mod leader_client;
mod named_leader;
mod online_load;
mod operator;
mod origin_records;
mod overdue_item;
mod pending_items;
mod rate_shares;
mod reads;
mod report_log;
mod running_items;
mod scheduler;
mod scheduler_audit;
mod scheduler_input;
mod shared_read_index;
mod state_file;
mod stored_state;
mod upstream_share;
mod upstream_use_update;
mod wait_reason;

pub use control_role::{Coordinator, CoordinatorOptions};
pub use entry_sync::leader_wait;
pub use failed_call::FailedCall;
pub use failure_reason::FailureReason;
pub use item_end::ItemEnd;
pub use job_plan::JobPlan;
pub use leader_client::{LeaderClient, LeaderError, LeaderHint};
pub use operator::{InstallOutcome, RetireOutcome};
pub use overdue_item::{ItemPlace, OverdueItem};
pub use rate_shares::RateShares;
pub use scheduler::Scheduler;
pub use scheduler_audit::SchedulerAudit;
pub use scheduler_input::SchedulerInput;
pub use state_file::StateFile;
pub use upstream_share::UpstreamShare;
pub use upstream_use_update::UpstreamUseUpdate;
pub use wait_reason::WaitReason;
