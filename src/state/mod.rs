//! The replicated state: configuration, files, jobs, items, claims, answers and fencing numbers.

mod state_client;

pub use state_client::{StateClient, StateError};
