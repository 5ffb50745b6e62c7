use crate::raft::{FollowerStatus, ReplicaSet};

/// Published status of a replica.
#[derive(Clone, Debug, Default)]
pub struct GroupStatus {
    /// Id of the group.
    pub group: u32,
    /// Id of this replica.
    pub replica_id: u64,
    /// True if this replica is the leader.
    pub is_leader: bool,
    /// The leader, if one is known.
    pub leader_id: Option<u64>,
    /// Peer address of the leader, if it is known.
    pub leader_address: Option<String>,
    /// Highest term seen.
    pub term: u64,
    /// Last index that is committed.
    pub commit_index: u64,
    /// Last index that is applied.
    pub applied_index: u64,
    /// Index of the first entry that was not compacted.
    pub first_index: u64,
    /// Index of the last entry in the log.
    pub last_index: u64,
    /// Last index of the newest snapshot.
    pub snapshot_index: u64,
    /// The replica set in force.
    pub replicas: ReplicaSet,
    /// True if the replica may vote.
    pub may_vote: bool,
    /// True while the replica takes no part in the group: after a storage failure until its storage
    /// works again, and for good after a violated invariant.
    pub is_stopped: bool,
    /// Number of storage failures since the replica was opened.
    pub storage_failures: u64,
    /// Problem that an operator should know of.
    pub fault: Option<String>,
    /// Size of the log and the snapshot files.
    pub data_bytes: u64,
    /// Size of the entries of the log in memory and on the disk, before compression.
    pub log_bytes: u64,
    /// Size of the file of the newest snapshot; 0 if there is none.
    pub snapshot_bytes: u64,
    /// Size of the state in the newest snapshot before compression; 0 if it is not known.
    pub state_bytes: u64,
    /// Size of the entries sent to followers since the replica was opened.
    pub sent_entry_bytes: u64,
    /// Size of the snapshot chunks sent to followers since the replica was opened.
    pub sent_snapshot_bytes: u64,
    /// Progress of each follower; empty unless this replica is the leader.
    pub followers: Vec<FollowerStatus>,
    /// Index that a learner needs to count as caught up; 0 unless this replica is the leader.
    pub catch_up_index: u64,
    /// Time for which waiting writes have made no progress; 0 if none waits.
    pub oldest_write_ms: u64,
    /// Time for which waiting committed entries have not been applied; 0 if none waits.
    pub oldest_unapplied_ms: u64,
    /// Time since a quorum confirmed this replica as the leader; `None` unless it leads.
    pub confirmed_age_ms: Option<u64>,
    /// Longest time by which the driver ran later than it was due, in the last seconds.
    pub driver_late_ms: u64,
    /// Longest time for which the driver handled one batch of events, in the last seconds.
    pub driver_pass_ms: u64,
}
