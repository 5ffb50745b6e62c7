/// Class of peer traffic. Each class has its own connection, so that bulk transfers don't delay
/// messages of online requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum TrafficClass {
    /// Small, latency-sensitive messages that online requests wait for.
    Online,
    /// Batch items, files, results and snapshots.
    Bulk,
}
