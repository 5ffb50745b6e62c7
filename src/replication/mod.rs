//! Formation and automatic repair of the Raft group.
//!
//! The control hosts send each other a notice several times a second about the replica that they
//! run ([`NoticeTable`]). The leader compares the notices with the replica set and makes one change
//! at a time ([`plan_repair`]): it admits a host without a replica as a learner under a new id,
//! waits until the learner has caught up, and promotes it in place of a voter that is lost, has an
//! empty disk or runs on a host that is being retired. [`ReplicaManager`] manages the replica of
//! one host throughout.

mod known_control_host;
mod member;
mod notice_table;
mod repair;
mod replica_manager;
mod replica_status;
mod running_replica;

pub use known_control_host::KnownControlHost;
pub use member::{Candidate, Member, MemberState};
pub use notice_table::{Notice, NoticeTable};
pub use repair::{plan_repair, RepairStep};
pub use replica_manager::{NewMachine, ReplicaManager, ReplicaManagerOptions};
pub use running_replica::{ReplicatedMachine, RunningReplica};
