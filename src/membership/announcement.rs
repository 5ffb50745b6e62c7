use crate::membership::UpstreamRecord;

/// An upstream announced itself to this host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// What the upstream says about itself. Its home host is filled in by the table.
    pub record: UpstreamRecord,
    /// Number of the announcement within the incarnation, which must grow; 0 for none. Without
    /// numbers, late announcements can move the home of an upstream for one announcement.
    pub sequence: u64,
    /// The upstream takes no new work. Can't be taken back within an incarnation.
    pub leaving: bool,
}

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The lease of the upstream runs from now.
    Accepted,
    /// This incarnation said that it leaves; only a newer one is taken back.
    AlreadyLeft,
    /// A newer incarnation or a later announcement is known.
    Stale,
}
