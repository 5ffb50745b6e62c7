/// A replica of the group, as its leader judges it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The replica.
    pub id: u64,
    /// Availability zone of its host.
    pub zone: String,
    /// False for a learner.
    pub is_voter: bool,
    /// It is the replica that judges.
    pub is_leader: bool,
    /// It has nearly the whole log.
    pub is_caught_up: bool,
    /// What is wrong with it.
    pub state: MemberState,
}

/// What is wrong with a replica, if anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Nothing.
    Healthy,
    /// It has not answered for a while.
    Silent,
    /// Its host runs no replica or another one, so its disk is gone.
    Replaced,
    /// Its host is to be emptied.
    Retiring,
}

/// A host that waits to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Address of the host for peers.
    pub peer_address: String,
    /// Its availability zone.
    pub zone: String,
}
