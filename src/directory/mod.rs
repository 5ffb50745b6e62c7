//! Discovery of upstreams and entry hosts.
//!
//! An upstream sends heartbeats to any control host, which records them in its [`Directory`]. Control
//! hosts poll each other for changes ([`FleetWatch`]) and merge the directories into one [`FleetView`].
//! Entry hosts poll a few control hosts ([`choose_polled`]), which pass on what they hear
//! ([`RelayDirectory`]). Of two records with the same id, the one of the later incarnation wins, then
//! the one with the higher sequence number.
//!
//! Control hosts also keep where streams began ([`OriginTable`]), since any entry host may be asked to
//! continue a stream that another one began.

mod control_host;
mod control_host_list;
mod crash_exchange;
mod directory_source;
mod entry_choice;
mod entry_list;
mod entry_table;
mod fleet_view;
mod fleet_watch;
mod leaving_table;
mod origin_keepers;
mod origin_table;
mod poll_set;
mod relay_directory;
mod routes_fetch;
mod stream_origin;
mod sync_calls;
mod sync_handler;
mod upstream_directory;
mod upstream_record;
mod version_history;

pub use control_host_list::ControlHostList;
pub use crash_exchange::CrashExchange;
pub use directory_source::{list_live, merge_directories, newest_records, DirectorySource};
pub use entry_choice::choose_entries;
pub use entry_list::{EntryChanges, EntryList};
pub use entry_table::EntryTable;
pub use fleet_view::FleetView;
pub use fleet_watch::{FleetWatch, FleetWatchOptions};
pub use leaving_table::LeavingTable;
pub use origin_keepers::{choose_asked, choose_keepers, OriginKeeper};
pub use origin_table::{request_hash, KnownOrigin, OriginTable};
pub use poll_set::{add_others, choose_polled, Distance, PollCandidate};
pub use relay_directory::RelayDirectory;
pub use routes_fetch::RoutesFetch;
pub use stream_origin::StreamOrigin;
pub use sync_handler::SyncHandler;
pub use upstream_directory::{heartbeat_timeout, Directory, HeartbeatOutcome};
pub use upstream_record::{Phase, UpstreamRecord, MAX_SLOTS};
pub use version_history::{only_version, VersionHistory};
