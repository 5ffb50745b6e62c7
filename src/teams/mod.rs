//! Teams of callers: which team a key belongs to, whether a host may act on the key, and the quota of requests that a
//! team has over all hosts.
//!
//! Keys and quotas are part of the route table, so they change in one version with the routes. [`identify`] decides
//! who a caller is, [`TeamQuota`] what an entry host admits, and [`TeamPaces`] how much of a team's requests the leader
//! lets each host admit. All of them decide without I/O.

mod caller;
mod caller_key;
mod key_use;
mod local_share;
mod member;
mod paced_team;
mod quota_input;
mod quota_registry;
mod recent_takes;
mod request_quota;
mod table_age;
mod team_check;
mod team_index;
mod team_limit;
mod team_paces;
mod team_quota;

pub use caller::{identify, Caller};
pub use caller_key::CallerKey;
pub use key_use::KeyUse;
pub use member::Member;
pub use quota_input::QuotaInput;
pub use quota_registry::QuotaRegistry;
pub use request_quota::RequestQuota;
pub use table_age::TableAge;
pub use team_check::check_teams;
pub use team_index::TeamIndex;
pub use team_limit::TeamLimit;
pub use team_paces::TeamPaces;
pub use team_quota::TeamQuota;
