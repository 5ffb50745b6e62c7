//! Assembles the components that one process runs from its settings.

mod bound_host;
mod entry_parts;
mod fleet_host;
mod handler;
mod running_host;
mod sharing_options;

pub use bound_host::BoundHost;
pub use fleet_host::FleetHost;
pub use running_host::Host;
pub use sharing_options::SharingOptions;
