//! The configuration in force on this host, and the task that keeps it up to date. [`LastConfirmation`] tells, for
//! configurations and route tables, how long ago the version in force was known to be the newest.

mod admission_policy;
mod configuration_view;
mod configuration_watch;
mod confirmation;
mod last_confirmation;

pub use configuration_view::ConfigurationView;
pub use configuration_watch::ConfigurationWatch;
pub use confirmation::Confirmation;
pub use last_confirmation::LastConfirmation;
