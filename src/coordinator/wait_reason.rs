use std::fmt;

/// Why a batch item waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The term has just begun; entry hosts first report what they run.
    TermStart,
    /// It failed a moment ago and is to be tried again later.
    RetryDelay,
    /// The routes name no service for its job.
    NoService,
    /// No upstream of its services is ready.
    NoUpstream,
    /// The ready upstreams refused or lost items a moment ago.
    UpstreamBackoff,
    /// All slots are in use.
    NoFreeSlot,
    /// The upstreams that may continue its stream have no free slot.
    OtherVersion,
    /// The limits that upstreams name leave no room.
    RateLimit,
    /// No entry host near the upstreams takes another item.
    NoEntryHost,
    /// An upstream and an entry host have room; the next sync call of the entry host may start it.
    NextSync,
}

impl WaitReason {
    /// True if waiting is what an item with this reason does on a fleet that is busy, or for a moment.
    pub fn is_expected(self) -> bool {
        matches!(self, Self::TermStart | Self::RetryDelay | Self::NoFreeSlot)
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TermStart => "the leader waits for the reports of the entry hosts",
            Self::RetryDelay => "it failed and is tried again later",
            Self::NoService => "the routes name no service for its job",
            Self::NoUpstream => "no upstream of its services is ready",
            Self::UpstreamBackoff => "the ready upstreams are in backoff",
            Self::NoFreeSlot => "no upstream has a free slot",
            Self::OtherVersion => "the version that began it has no free slot",
            Self::RateLimit => "the limits that upstreams name leave no room",
            Self::NoEntryHost => "no entry host near the upstreams takes items",
            Self::NextSync => "the next sync call of an entry host may start it",
        })
    }
}
