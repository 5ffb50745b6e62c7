//! The replicated state: configuration, files, jobs, items, claims, answers and fencing numbers.
//!
//! [`ReplicatedState`] decodes a command at its border and hands it to the state machine's tables,
//! which decide on their own types and know neither the clock of the host nor the schema. Time is
//! the leader's stamp in the command, held so that it never runs backwards.
//!
//! # Bodies
//!
//! Item inputs, results and answers live in a [`BodyStore`]; the tables hold a [`BodyRef`] each.
//! The log and the snapshots are the durable copy of every body, and the store only keeps bodies
//! out of memory:
//!
//! - A snapshot is complete. It holds the tables first, then the segments of the store byte for
//!   byte, so that a restore on another replica gets all bodies. Each snapshot writes all bodies
//!   again, so it should come only when the log has grown by about as much as the last one.
//! - A snapshot is captured by sharing pages of the tables and handles of the segments, and written
//!   without the state's lock. The segments are synced before the first record is written.
//! - After a crash the state is restored from the snapshot and the log is applied again, which
//!   appends the later bodies anew to new segments. What the crash left behind is in no named
//!   segment, or past the named length of one, and is deleted or never read.
//! - A replica that still holds a segment that the snapshot names, with its random nonce and at
//!   least its length, keeps it. When it holds all of them the restore ends before the segments,
//!   and the rest of the source stays unread.
//! - A body that cannot be written to disk stays in memory and the store reports the fault, because
//!   the replicas must not differ. A body that cannot be read leaves its item out of a lease
//!   answer; the lease then runs out.
//! - Places of bodies differ between replicas. No decision depends on them.

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
mod query;
mod ready_jobs;
mod refusal;
mod render;
mod replicated_state;
mod request;
mod sealed_bodies;
mod segment;
mod segment_name;
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
pub use sealed_bodies::SealedBodies;
pub use segment_name::SegmentName;
pub use state_client::{StateClient, StateError};
