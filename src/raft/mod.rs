//! Agreement: a replicated log in the manner of Raft.
//!
//! [`RaftNode`] makes the decisions. [`Group`] drives one replica: it owns the log on disk, the
//! timers and the messages, and applies committed commands to a [`StateMachine`].
//!
//! # Who may vote
//!
//! The identity file of a replica says whether it may vote ([`Standing`]). With an empty data folder
//! it gets a new identity with a random nonce. The initial replicas of a new group tell each other
//! their nonces; the group is formed once all of them were heard of, and the nonces stay on record.
//! So the first start needs all initial replicas at once and no other sign. A host that lost its
//! disk has a nonce that nobody knows: it reports a fault and never votes, and is replaced under a
//! new replica id, as a learner that becomes a voter once it has caught up. A replica that finds a
//! damaged record keeps what comes before it, reports the fault, and votes again only when it has
//! all that it may have acknowledged.

mod action;
mod callers;
mod disk_log;
mod driver;
mod driver_formation;
mod driver_snapshots;
mod driver_status;
mod entry;
mod errors;
mod event;
mod formation;
mod frame;
mod group;
mod group_options;
mod group_status;
mod hard_state;
mod identity;
mod leader;
mod log;
mod log_storage;
mod message;
mod node;
mod node_config;
mod node_election;
mod node_follower;
mod node_leader;
mod node_replication;
mod outbox;
mod priority;
mod progress;
mod proposal_queue;
mod read_point;
mod recovery;
mod replica_set;
mod snapshot_file;
mod snapshot_meta;
mod space;
mod standing;
mod state_machine;
mod storage_thread;
mod wire;

pub use action::Action;
pub use disk_log::{Damage, DiskLog, Scan};
pub use entry::{Entry, Payload};
pub use errors::{ChangeError, OpenError, ProposeError, ReadError};
pub use group::Group;
pub use group_options::GroupOptions;
pub use group_status::GroupStatus;
pub use hard_state::HardState;
pub use identity::{sync_folder, Identity};
pub use log::Log;
pub use log_storage::LogStorage;
pub use message::{AppendRequest, Body, Message, SnapshotChunk};
pub use node::{RaftNode, Recovered, Role};
pub use node_config::NodeConfig;
pub use outbox::Outbox;
pub use priority::Priority;
pub use read_point::ReadPoint;
pub use replica_set::{Replica, ReplicaChange, ReplicaSet};
pub use snapshot_meta::SnapshotMeta;
pub use standing::Standing;
pub use state_machine::StateMachine;
