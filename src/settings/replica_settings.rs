/// One member of a replica group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// ID of the replica; it must not be reused for another replica.
    pub replica_id: u64,
    /// Peer address of the control host that runs the replica.
    pub peer_address: String,
    /// Availability zone of the control host.
    pub zone: String,
}
