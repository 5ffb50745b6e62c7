//! Statements of operators over the whole fleet: tables of what hosts report, and orders.

mod admin_answer;
mod admin_service;
mod fleet_reports;
mod state_tables;

pub use admin_answer::AdminAnswer;
pub use admin_service::AdminService;
pub use fleet_reports::FleetReports;
