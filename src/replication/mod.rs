//! A group that forms from seeds and repairs itself.
//!
//! Control hosts tell each other a few times a second which replica they run ([`NoticeBoard`]). The
//! leader compares that with the replica set and makes one change at a time ([`plan_repair`]): a host
//! without a replica is admitted as a learner under a new id, caught up, and takes the place of a
//! voter that is lost, has an empty disk or is to be emptied. [`ReplicaHost`] runs the replica of one
//! host through all of this.

mod member;
mod notice_board;
mod repair;
mod replica_host;
mod replica_status;

pub use member::{Candidate, Member, MemberState};
pub use notice_board::{Notice, NoticeBoard};
pub use repair::{plan_repair, RepairStep};
pub use replica_host::{ReplicaHost, ReplicaHostOptions, Retirement};
