//! The replicated state machine: configuration, files, batch jobs with their items, claims and
//! recorded answers of online requests, and fencing numbers.
//!
//! [`ReplicatedState`] decodes each command at the border of the module and passes it to the
//! tables, which decide on internal types and depend neither on the schema nor on the host's clock.
//! The time is the timestamp that the leader puts into each command; it never moves backwards.
//!
//! # Bodies
//!
//! Item inputs, results and answers are stored in a [`BodyStore`]; the tables hold a [`BodyRef`] to
//! each. The log and the snapshots are the durable copy of every body, and the store only keeps
//! bodies out of memory:
//!
//! - A snapshot is self-contained. It holds the tables, followed by the segments of the store byte
//!   for byte, so that another replica can restore all bodies from it. Each snapshot writes all
//!   bodies again, so one should be taken only when the log has grown by about the size of the
//!   previous snapshot.
//! - A snapshot is captured by sharing the pages of the tables and the handles of the segments, and
//!   is written without holding the state's lock. The segments are synced to disk before the first
//!   record is written.
//! - After a crash, the state is restored from the snapshot and the log is replayed, which appends
//!   the later bodies again, to new segments. Bodies written after the snapshot lie in segments
//!   that the snapshot does not list, or beyond the listed length of one; they are deleted or never
//!   read.
//! - A restore keeps a local segment that the snapshot lists if its random nonce matches and it is
//!   at least as long as listed. If all segments are present, the restore stops before the segment
//!   data and leaves the rest of the source unread.
//! - A body that cannot be written to disk is kept in memory and the store reports the fault,
//!   because a disk error must not make the replicas diverge. An item whose input cannot be read is
//!   left out of the response to the lease command, and its lease then expires.
//! - The locations of bodies differ between replicas. No decision depends on them.

mod bodies;
mod body_record;
mod body_ref;
mod body_store;
mod chunk_cache;
mod claim;
mod claim_pages;
mod claims;
mod command;
mod command_results;
mod configuration_check;
mod configuration_table;
mod configuration_watch;
mod disk_bodies;
mod fair_queue;
mod fences;
mod file;
mod files;
mod fingerprint;
mod frozen_tables;
mod item;
mod item_attempt;
mod item_table;
mod job;
mod jobs;
mod lease;
mod memory_bodies;
mod outcome;
mod page;
mod proposed_command;
mod query;
mod ready_jobs;
mod refusal;
mod render;
mod replicated_state;
mod segment;
mod segment_name;
mod segment_snapshot;
mod snapshot;
mod snapshot_records;
mod state_client;
mod state_clock;
mod tables;

pub use body_ref::BodyRef;
pub use body_store::BodyStore;
pub use disk_bodies::DiskBodies;
pub use memory_bodies::MemoryBodies;
pub use replicated_state::ReplicatedState;
pub use segment_name::SegmentName;
pub use segment_snapshot::SegmentSnapshot;
pub use state_client::{StateClient, StateError};
