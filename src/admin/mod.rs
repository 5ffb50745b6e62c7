//! Statements of operators over the whole fleet: tables of what hosts report, and orders.

mod admin_answer;
mod admin_service;
mod fleet_reports;
mod job_filter;
mod state_tables;
mod tables;

pub use admin_answer::AdminAnswer;
pub use admin_service::AdminService;
pub use fleet_reports::FleetReports;
