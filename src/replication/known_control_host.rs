/// A control host that is in contact.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KnownControlHost {
    /// Peer address.
    pub peer_address: String,
    /// Availability zone.
    pub zone: String,
    /// It runs a replica of the ledger.
    pub has_replica: bool,
}
