//! The ledger: the routes in force and the accepted batch jobs, replicated by a group.
//!
//! [`Ledger`] is the state machine. A result keeps its position once it is applied, the first
//! finish of an item counts, and a job is accepted as a whole or not at all.

mod command;
mod fit;
mod job;
mod replicated_ledger;
mod route_check;
mod snapshot;
mod tables;

pub use command::command;
pub use fit::route_for;
pub use job::Job;
pub use replicated_ledger::Ledger;
pub use route_check::check_routes;
