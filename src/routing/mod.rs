//! Choice of an upstream for a request.

mod balancer;
mod cuttable_streams;
mod ejection_policy;
mod ejector;
mod fleet;
mod health;
mod least_outstanding;
mod pace;
mod request_view;
mod round_robin;
mod slot_watcher;
mod trial;
mod upstream;
mod weighted_score;

pub use balancer::Balancer;
pub use cuttable_streams::CuttableStreams;
pub use ejection_policy::{EjectionPolicy, UpstreamFailure};
pub use ejector::{Ejector, DEFAULT_EJECTION_LIMIT_PERCENT};
pub use fleet::{Fleet, FleetSnapshot};
pub use health::Health;
pub use least_outstanding::LeastOutstanding;
pub use pace::Pace;
pub use request_view::{RequestView, WorkClass};
pub use round_robin::RoundRobin;
pub use slot_watcher::SlotWatcher;
pub use trial::Trial;
pub use upstream::{SlotPermit, Upstream};
pub use weighted_score::WeightedScore;
