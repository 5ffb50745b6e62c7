//! A stand-in for a model engine and for a plain service.
//!
//! It speaks the protocol of an upstream over HTTP/1.1 and answers deterministically, so that
//! tests can check answers token by token and make the upstream fail when they want it to.

mod announcer;
mod caller;
mod completion;
mod engine;
mod engine_stats;
mod generator;
mod kv_cache;
mod load;
mod model_service;
mod open_answer;
mod order_book;
mod plain_service;
mod relay;
pub mod schema;
mod server;
mod service;
mod signal;
pub mod tokens;

pub use caller::{Caller, CallerAnswer};
pub use engine::Engine;
pub use engine_stats::EngineStats;
pub use relay::{Relay, RelayMode};
pub use schema::{EngineOptions, Model, Order};
