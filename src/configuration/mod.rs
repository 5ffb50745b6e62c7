//! The configuration in force on this host, and the task that keeps it up to date.

mod admission_policy;
mod configuration_view;
mod configuration_watch;

pub use configuration_view::ConfigurationView;
pub use configuration_watch::ConfigurationWatch;
