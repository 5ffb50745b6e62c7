//! Choice of an upstream for a request.

mod balancer;
mod fleet;
mod least_outstanding;
mod pace;
mod request_view;
mod round_robin;
mod upstream;
mod weighted_score;

pub use balancer::Balancer;
pub use fleet::{Fleet, FleetSnapshot};
pub use least_outstanding::LeastOutstanding;
pub use pace::Pace;
pub use request_view::{RequestView, WorkClass};
pub use round_robin::RoundRobin;
pub use upstream::{SlotPermit, Upstream};
pub use weighted_score::WeightedScore;
