//! Discovery of upstreams and entry hosts.
//!
//! An upstream sends heartbeats to any control host, which records them in its [`Directory`]. Every
//! entry host polls every control host for changes ([`FleetWatch`]) and merges the directories into
//! one [`FleetView`]. Of two records with the same id, the one of the later incarnation wins, then
//! the one with the higher sequence number.

mod crash_exchange;
mod directory_source;
mod entry_table;
mod fleet_view;
mod fleet_watch;
mod sync_handler;
mod upstream_directory;
mod upstream_record;

pub use crash_exchange::CrashExchange;
pub use directory_source::{merge_directories, DirectorySource};
pub use entry_table::EntryTable;
pub use fleet_view::FleetView;
pub use fleet_watch::{FleetWatch, FleetWatchOptions};
pub use sync_handler::SyncHandler;
pub use upstream_directory::{heartbeat_timeout, Directory, HeartbeatOutcome};
pub use upstream_record::{Phase, UpstreamRecord};
