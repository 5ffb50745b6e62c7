/// A replica of the group, with the state that the leader assigns to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Id of the replica.
    pub id: u64,
    /// Availability zone of its host.
    pub zone: String,
    /// False for a learner.
    pub is_voter: bool,
    /// True for the leader, which assigns the states.
    pub is_leader: bool,
    /// True if its log lacks only a few of the leader's entries.
    pub is_caught_up: bool,
    /// Health of the replica.
    pub state: MemberState,
}

/// Health of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It replies to the leader, and its host is not being retired.
    Healthy,
    /// It stopped replying to the leader.
    Unresponsive,
    /// Its host runs no replica or a different one, so the data of this replica is lost.
    DataLost,
    /// An operator is retiring its host, whether or not the replica replies.
    Retiring,
}

/// A host without a replica that waits to be admitted to the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Peer address of the host.
    pub peer_address: String,
    /// Its availability zone.
    pub zone: String,
}
