/// Kind of traffic, each on a connection of its own, so that bulk data delays nothing online.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum TrafficClass {
    /// Small messages that online requests wait for.
    Online,
    /// Batch items, files, results and snapshots.
    Bulk,
}
