//! Choice of an upstream for a request.

mod balancer;
mod ejection_policy;
mod ejector;
mod fleet;
mod health;
mod holder_index;
mod least_outstanding;
mod pace;
mod place;
mod prefix_cell;
mod prefix_tracker;
mod prefix_view;
mod prompt_hasher;
mod request_view;
mod round_robin;
mod trial;
mod upstream;
mod weighted_score;

pub use balancer::Balancer;
pub use ejection_policy::{EjectionPolicy, UpstreamFailure};
pub use ejector::{Ejector, DEFAULT_EJECTION_LIMIT_PERCENT};
pub use fleet::{Fleet, FleetSnapshot};
pub use health::Health;
pub use holder_index::{Holder, HolderIndex, SENT_AGE_S};
pub use least_outstanding::LeastOutstanding;
pub use pace::Pace;
pub use place::Place;
pub use prefix_cell::PrefixCell;
pub use prefix_tracker::{CacheEvent, PrefixTracker, DOUBT_S};
pub use prefix_view::PrefixView;
pub use prompt_hasher::PromptHasher;
pub use request_view::{RequestView, WorkClass};
pub use round_robin::RoundRobin;
pub use trial::Trial;
pub use upstream::{SlotPermit, Upstream};
pub use weighted_score::WeightedScore;
