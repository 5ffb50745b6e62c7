//! Consensus: a replicated log that follows the Raft algorithm.
//!
//! [`RaftNode`] is the protocol state machine; it does no I/O. [`Group`] runs one replica: it owns
//! the log on disk, the timers and the messages, and applies committed commands to a
//! [`StateMachine`].
//!
//! # Who may vote
//!
//! The identity file of a replica records whether it may vote ([`Standing`]). A replica that starts
//! with an empty data folder creates an identity with a random nonce. The initial replicas of a new
//! group exchange their nonces. The group is formed once a replica has received the nonces of
//! all others, and the nonces are stored with the identity. The first start therefore needs all
//! initial replicas at the same time and no other bootstrap step.
//!
//! A host that lost its disk starts with a nonce that the other replicas don't know: it reports a
//! fault and never votes. It is replaced under a new replica id, as a learner that becomes a voter
//! once it has caught up. A replica that finds a damaged record keeps the records before it,
//! reports the fault, and votes again only once it has recovered every entry that it may have
//! acknowledged.

mod action;
mod campaign;
mod catch_up;
mod catch_up_log;
mod catch_up_sizes;
mod disk_log;
mod disk_log_reader;
mod disk_quota;
mod driver;
mod driver_delays;
mod driver_formation;
mod driver_log;
mod driver_snapshots;
mod driver_status;
mod driver_storage;
mod election_event;
mod entry;
mod errors;
mod event;
mod follower_status;
mod formation;
mod frame;
mod frame_index;
mod group;
mod group_options;
mod group_status;
mod hard_state;
mod identity;
mod leader;
mod leader_belief;
mod leader_tracker;
mod log;
mod log_position;
mod log_reader;
mod log_storage;
mod message;
mod node;
mod node_config;
mod node_election;
mod node_follower;
mod node_leader;
mod node_replication;
mod node_stall;
mod pending_replies;
mod priority;
mod progress;
mod proposal_queue;
mod quorum_read;
mod read_point;
mod recovery;
mod replica_position;
mod replica_set;
mod run_delay;
mod snapshot_file;
mod snapshot_meta;
mod snapshot_size;
mod stall;
mod stall_clock;
mod standing;
mod state_machine;
mod storage_opener;
mod storage_thread;
mod transport;
mod wire;

pub use action::Action;
pub use catch_up_sizes::CatchUpSizes;
pub use disk_log::{Damage, DiskLog, LogScan};
pub use election_event::{ElectionEvent, LeadershipEnd, VoteRefusal};
pub use entry::{Entry, Payload};
pub use errors::{ChangeError, OpenError, ProposeError, ReadError};
pub use follower_status::FollowerStatus;
pub use group::Group;
pub use group_options::GroupOptions;
pub use group_status::GroupStatus;
pub use hard_state::HardState;
pub use identity::{sync_folder, Identity};
pub use leader_belief::LeaderBelief;
pub use leader_tracker::LeaderTracker;
pub use log::Log;
pub use log_position::LogPosition;
pub use log_reader::LogReader;
pub use log_storage::LogStorage;
pub use message::{AppendRequest, Body, Message, SnapshotChunk};
pub use node::{RaftNode, RecoveredState, Role};
pub use node_config::NodeConfig;
pub use priority::Priority;
pub use quorum_read::QuorumRead;
pub use read_point::ReadPoint;
pub use replica_position::ReplicaPosition;
pub use replica_set::{Replica, ReplicaChange, ReplicaSet};
pub use snapshot_meta::SnapshotMeta;
pub use snapshot_size::SnapshotSize;
pub use stall::Stall;
pub use standing::Standing;
pub use state_machine::StateMachine;
pub use transport::Transport;
