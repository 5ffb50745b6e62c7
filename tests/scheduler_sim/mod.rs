mod behaviour;
mod control_host;
mod end_call;
mod end_report;
mod entry_model;
mod event;
mod item_run;
mod planned;
mod profile;
mod sim;
mod sync_call;
mod upstream_model;

pub use profile::Profile;
pub use sim::Sim;
