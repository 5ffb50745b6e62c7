//! Online and batch inference on one fleet.
//!
//! The library contains the coordination modules (consensus, replicated state, membership, routing,
//! admission) and the front ends from which the `damaskhoistd` daemon and the `damaskhoist`
//! command-line tool are built. See `docs/design.md` for how the modules fit together.

pub mod admin;
pub mod admission;
pub mod batch;
pub mod boot_instant;
pub mod cmd;
pub mod configuration;
pub mod control;
pub mod coordinator;
pub mod directory;
pub mod entry;
pub mod gateway;
mod host;
pub mod http;
pub mod ledger;
pub mod links;
pub mod membership;
pub mod orders;
pub mod peer;
pub mod query;
pub mod raft;
pub mod relay;
pub mod replication;
pub mod reserved_threads;
pub mod routing;
pub mod schema;
pub mod serving;
pub mod settings;
pub mod signal;
pub mod sockets;
pub mod state;
pub mod teams;
pub mod telemetry;
pub mod upstream;

pub use host::{BoundHost, FleetHost, Host, SharingOptions};
