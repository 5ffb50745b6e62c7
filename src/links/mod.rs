//! Whether this host can reach the upstreams.
//!
//! Failures of several upstreams lead to a check ([`LinkMonitor`]): this host and a few others try to connect
//! to the same upstreams. If the others reach most of those that this host does not, its own links are lost,
//! and its requests go through another host until the links are back ([`crate::relay`]). If the others do not
//! reach them either, the upstreams are down, and each is paused by itself.

mod link_check;
mod link_failures;
mod link_monitor;
mod link_verdict;
mod upstream_probe;

pub use link_check::{answer_link_check, LinkPeers};
pub use link_failures::LinkFailures;
pub use link_monitor::{LinkMonitor, LinkMonitorOptions};
pub use link_verdict::{judge_links, judge_return, LinkVerdict};
pub use upstream_probe::UpstreamProbe;
