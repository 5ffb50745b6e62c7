use crate::membership::UpstreamRecord;

/// Registration or heartbeat that an upstream sends to its home host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// The upstream's own description. The table fills in the home host.
    pub record: UpstreamRecord,
    /// Sequence number of the announcement, increasing within an incarnation; 0 if the upstream
    /// does not number its announcements. Without numbers, a delayed announcement can move the
    /// upstream back to an earlier home host until the next announcement.
    pub sequence: u64,
    /// The upstream accepts no new work. Irrevocable within an incarnation.
    pub leaving: bool,
}

/// Result of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The lease of the upstream was granted or renewed.
    Accepted,
    /// This incarnation announced earlier that it is leaving; only a newer one is accepted.
    AlreadyLeft,
    /// A newer incarnation or a later announcement was already received.
    Stale,
}
