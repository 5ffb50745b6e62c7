//! Gossip membership in the manner of SWIM: records of hosts, upstreams and crash suspects.
//!
//! [`GossipTable`] merges records and decides which messages to send; it has no clock and no
//! socket. [`Membership`] runs a table over a [`PeerCaller`](crate::peer::PeerCaller).

mod announcement;
mod directory;
mod failure_detector;
mod gossip_message;
mod gossip_table;
mod handle;
mod host_record;
mod key;
mod leases;
mod neighbors;
mod options;
mod record;
mod record_store;
mod repair;
mod rumor_queue;
mod selection;
mod status;
mod upstream_record;
mod version;
mod view;

pub use announcement::{AnnounceOutcome, Announcement};
pub use gossip_message::{GossipMessage, RecordDigest};
pub use gossip_table::{GossipTable, Outgoing};
pub use handle::{Membership, MembershipCounters};
pub use host_record::HostRecord;
pub use key::Key;
pub use options::MembershipOptions;
pub use record::{Body, Record};
pub use record_store::RecordStore;
pub use selection::select_entry_hosts;
pub use status::Status;
pub use upstream_record::{UpstreamModel, UpstreamRecord};
pub use version::Version;
pub use view::{CrashEntry, HostEntry, MembershipView, UpstreamEntry};
