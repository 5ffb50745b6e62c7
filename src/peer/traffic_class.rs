use std::future::Future;
use std::time::Duration;

use async_std::task;

use crate::reserved_threads;

/// Class of peer traffic. Each class has its own connection, so that bulk transfers don't delay
/// messages of online requests, and neither of them those of Raft groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum TrafficClass {
    /// Heartbeats, votes and answers of Raft groups. Its connections are served by the reserved
    /// threads.
    Consensus,
    /// Log entries of Raft groups, behind which a heartbeat would wait on a slow link. As above.
    Replication,
    /// Small, latency-sensitive messages that online requests wait for.
    Online,
    /// Batch items, files, results and snapshots.
    Bulk,
}

impl TrafficClass {
    /// Time in which a peer must answer a probe on a connection of this class, if its messages have no replies that
    /// would show that it delivers: four election timeouts or, behind log entries, eight full requests at 0.25 MB/s.
    pub(super) fn probe_limit(self) -> Option<Duration> {
        match self {
            Self::Consensus => Some(Duration::from_millis(2_000)),
            Self::Replication => Some(Duration::from_millis(10_000)),
            Self::Online | Self::Bulk => None,
        }
    }

    /// Runs a task that serves a connection of this class.
    pub(super) fn spawn(self, task: impl Future<Output = ()> + Send + 'static) {
        match self {
            Self::Consensus | Self::Replication => reserved_threads::spawn(task).detach(),
            Self::Online | Self::Bulk => drop(task::spawn(task)),
        }
    }
}
