use std::collections::BTreeMap;

use crate::raft::{LogPosition, Replica, ReplicaPosition, ReplicaSet};

/// Decides, without a leader, whether a replica has applied all that was committed before a read began.
///
/// The replica asks the voters how far they have the log, after the read has begun. Its state is current if a quorum
/// of the replica set at its last applied entry has nothing beyond that entry but empty ones of new leaders:
///
/// - A committed entry is in the logs of a quorum. If the replica set is the same, or one change newer, one of its
///   voters is among those that answered, and would have named that entry or a later one.
/// - If the replica set is several changes newer, the first of them was committed before the second began, so a voter
///   that answered has that change in its log, beyond the applied entry as well. Changes of the replica set
///   therefore count like commands.
/// - Both the applied entry and the committed one are part of the one committed log, in which the order by term and
///   index is that of the entries.
#[derive(Clone, Debug)]
pub struct QuorumRead {
    replicas: ReplicaSet,
    own_id: u64,
    /// Last entries by replica id.
    stored: BTreeMap<u64, LogPosition>,
}

impl QuorumRead {
    /// Begins a question at a replica whose position was taken after the read began.
    pub fn begin(own: &ReplicaPosition) -> Self {
        let mut read = Self {
            replicas: own.replicas.clone(),
            own_id: own.replica_id,
            stored: BTreeMap::new(),
        };
        read.record(own.replica_id, own.stored);
        read
    }

    /// The other voters, which must be asked.
    pub fn asked(&self) -> impl Iterator<Item = &Replica> {
        let replicas = self.replicas.replicas.iter();
        replicas.filter(|replica| replica.voter && replica.id != self.own_id)
    }

    /// Records the last entry of a member that answered a question that was sent after the read began.
    pub fn record(&mut self, replica_id: u64, stored: LogPosition) {
        self.stored.insert(replica_id, stored);
    }

    /// True if the replica that asked has applied all that was committed when the read began. `own` is its present
    /// position.
    pub fn is_current(&self, own: &ReplicaPosition) -> bool {
        let has_applied =
            |id: u64| self.stored.get(&id).is_some_and(|stored| *stored <= own.applied);
        // Another replica set needs a quorum of its own.
        own.replicas == self.replicas && self.replicas.is_quorum(has_applied)
    }
}
