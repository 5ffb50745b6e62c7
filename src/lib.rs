//! Online and batch inference on one fleet.
//!
//! The library holds the coordination parts (agreement, replicated state, membership, routing,
//! admission) and the front ends that the `damaskhoistd` daemon and the `damaskhoist` command line
//! put together. See `docs/design.md` for how the parts fit.

pub mod cmd;
pub mod peer;
pub mod query;
pub mod raft;
pub mod schema;
pub mod settings;
pub mod state;
pub mod telemetry;
