/// Why a request that has passed its stall limit waits on, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaysFor {
    /// Most upstreams of the service are silent.
    SilenceOfMost,
    /// It can't be sent to another upstream.
    NoOther,
    /// The retry budget is used up.
    Budget,
}
