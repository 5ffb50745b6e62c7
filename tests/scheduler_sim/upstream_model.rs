use damaskhoist::directory::UpstreamRecord;

use super::behaviour::Behaviour;

/// An upstream as it really is.
#[derive(Debug)]
pub struct UpstreamModel {
    pub record: UpstreamRecord,
    /// Grows with each start and stop.
    pub incarnation: u64,
    pub is_alive: bool,
    pub behaviour: Behaviour,
    /// Limit that it names, in thousandths of a request per second.
    pub limit_millis: Option<u64>,
}
