//! Upstreams and entry hosts, as the control hosts hear of them and as all hosts see them.
//!
//! Upstreams announce themselves to any control host, which keeps a [`Directory`]. Every entry host
//! asks every control host for what is new ([`FleetWatch`]) and merges the answers into one
//! [`FleetView`]: of two entries with the same id the one of the later incarnation holds, then the
//! one with the higher sequence.

mod entry_table;
mod fleet_view;
mod fleet_watch;
mod source;
mod sync_partner;
mod upstream_directory;
mod upstream_record;

pub use entry_table::EntryTable;
pub use fleet_view::FleetView;
pub use fleet_watch::{FleetWatch, FleetWatchOptions};
pub use source::{merge, Source};
pub use sync_partner::SyncPartner;
pub use upstream_directory::{silence_after, Directory, Heartbeat};
pub use upstream_record::{Phase, UpstreamRecord};
