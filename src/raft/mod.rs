//! Agreement: a replicated log in the manner of Raft.

mod state_machine;

pub use state_machine::StateMachine;
