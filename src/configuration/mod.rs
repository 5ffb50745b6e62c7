//! The configuration in force on this host.

mod admission_policy;
mod configuration_view;
mod configuration_watch;

pub use configuration_view::ConfigurationView;
pub use configuration_watch::ConfigurationWatch;
