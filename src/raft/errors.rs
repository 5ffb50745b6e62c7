use std::io;

/// Error of opening a replica.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// A file could not be read or written.
    #[error("data folder of group {group}: {error}")]
    Io {
        /// The group.
        group: u32,
        /// The I/O error.
        error: io::Error,
    },
    /// There are other files but no identity file, so the replica doesn't know its term and vote.
    #[error("group {group}: the identity file is missing, but the data folder is not empty")]
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
    /// The options are invalid.
    #[error("options: {0}")]
    Options(&'static str),
}

/// Error of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica is not the leader; the command was not proposed.
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
    /// The proposal queue is full; the command was not proposed.
    #[error("too many commands wait")]
    Overloaded,
}

/// Error of a linearizable read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// This replica is not the leader.
    #[error("not the leader")]
    NotLeader {
        /// Peer address of the leader, if one is known.
        leader_address: Option<String>,
    },
    /// The replica lost leadership or was closed before a quorum confirmed the read.
    #[error("no quorum confirmed the read")]
    NoQuorum,
}

/// Error of a replica change or a leadership transfer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// This replica is not the leader.
    #[error("not the leader")]
    NotLeader {
        /// Peer address of the leader, if one is known.
        leader_address: Option<String>,
    },
    /// The change is rejected, at present or permanently, for this reason.
    #[error("{0}")]
    Refused(String),
    /// The change was started; whether it commits is not known.
    #[error("the fate of the change is not known")]
    Unknown,
}
