use std::io;

/// Why a replica could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// A file could not be read or written.
    #[error("data folder of group {group}: {error}")]
    Io {
        /// The group.
        group: u32,
        /// What happened.
        error: io::Error,
    },
    /// There is a log or a snapshot without an identity, so the replica can't know its promises.
    #[error("group {group}: the identity file is missing, but other files are there")]
    IdentityMissing {
        /// The group.
        group: u32,
    },
    /// The files belong to another replica.
    #[error("the data folder belongs to replica {found_id} of group {found_group}")]
    OtherReplica {
        /// Group in the identity file.
        found_group: u32,
        /// Replica in the identity file.
        found_id: u64,
    },
    /// The options contradict each other.
    #[error("options: {0}")]
    Options(&'static str),
}

/// Why a proposal has no outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica does not lead; the command was not proposed.
    #[error("not the leader")]
    NotLeader {
        /// Peer address of the leader, if one is known.
        leader_address: Option<String>,
    },
    /// The command was proposed; whether it commits is not known.
    #[error("the fate of the command is not known")]
    Unknown,
    /// The disk is full or has failed; the command was not proposed.
    #[error("storage: {0}")]
    Storage(String),
    /// Too many commands wait; the command was not proposed.
    #[error("too many commands wait")]
    Overloaded,
}

/// Why there is no read point.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// This replica does not lead.
    #[error("not the leader")]
    NotLeader {
        /// Peer address of the leader, if one is known.
        leader_address: Option<String>,
    },
    /// The replica stopped leading, or was closed, before a quorum confirmed it.
    #[error("no quorum confirmed the read")]
    NoQuorum,
}

/// Why replicas were not changed or leadership was not transferred.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// This replica does not lead.
    #[error("not the leader")]
    NotLeader {
        /// Peer address of the leader, if one is known.
        leader_address: Option<String>,
    },
    /// The change is not possible now, or never; says why.
    #[error("{0}")]
    Refused(String),
    /// The change was started; whether it takes place is not known.
    #[error("the fate of the change is not known")]
    Unknown,
}
