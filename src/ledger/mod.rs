//! The ledger: the routes in force and the accepted batch jobs, replicated by a Raft group.
//!
//! [`Ledger`] is the state machine. A result keeps its position once it is applied, only the first
//! result of an item is kept, and a job is accepted as a whole or not at all.

mod command;
mod item_check;
mod job;
mod job_head;
mod job_signals;
mod replicated_ledger;
mod route_check;
mod route_match;
mod snapshot;
mod tables;

pub use command::command;
pub use item_check::check_item;
pub use job::Job;
pub use job_head::JobHead;
pub use replicated_ledger::Ledger;
pub use route_check::check_routes;
pub use route_match::find_route;
