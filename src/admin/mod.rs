//! Execution of operators' statements: reads tables of the whole fleet, drains hosts, and changes
//! jobs, files and the configuration.

mod admin_answer;
mod admin_service;
mod fleet_reports;
mod state_tables;

pub use admin_answer::AdminAnswer;
pub use admin_service::AdminService;
pub use fleet_reports::FleetReports;
