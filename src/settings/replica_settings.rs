/// One replica of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Identity of the replica, never used again for another one.
    pub replica_id: u64,
    /// Peer address of the control host that runs the replica.
    pub peer_address: String,
    /// Availability zone of the control host.
    pub zone: String,
}
