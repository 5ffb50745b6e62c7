//! Choice of an upstream for a request.

mod balancer;
mod cuttable_streams;
mod fleet;
mod least_outstanding;
mod request_view;
mod round_robin;
mod slot_watcher;
mod upstream;
mod weighted_score;

pub use balancer::Balancer;
pub use cuttable_streams::CuttableStreams;
pub use fleet::{Fleet, FleetSnapshot};
pub use least_outstanding::LeastOutstanding;
pub use request_view::{RequestView, WorkClass};
pub use round_robin::RoundRobin;
pub use slot_watcher::SlotWatcher;
pub use upstream::{SlotPermit, Upstream};
pub use weighted_score::WeightedScore;
