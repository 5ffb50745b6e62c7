use crate::raft;
use crate::schema::peer::{change_replicas, GroupStatus, Replica, ReplicaProgress, ReplicaSet};

impl From<&raft::GroupStatus> for GroupStatus {
    fn from(status: &raft::GroupStatus) -> Self {
        let progress = status.followers.iter().map(|follower| ReplicaProgress {
            replica_id: follower.id,
            match_index: follower.match_index,
            silent_ms: follower.silent_ms as u32,
        });
        Self {
            group: status.group,
            replica_id: status.replica_id,
            leader_id: status.leader_id.unwrap_or(0),
            term: status.term,
            commit_index: status.commit_index,
            applied_index: status.applied_index,
            first_index: status.first_index,
            last_index: status.last_index,
            replicas: Some(replica_set(&status.replicas)),
            fault: status.fault.clone().unwrap_or_default(),
            data_bytes: status.data_bytes,
            progress: progress.collect(),
        }
    }
}

fn replica_set(set: &raft::ReplicaSet) -> ReplicaSet {
    let replicas = set.replicas.iter().map(|replica| Replica {
        replica_id: replica.id,
        peer_address: replica.peer_address.clone(),
        zone: replica.zone.clone(),
        voter: replica.voter,
    });
    ReplicaSet { replicas: replicas.collect(), ..ReplicaSet::default() }
}

impl From<change_replicas::Change> for raft::ReplicaChange {
    fn from(change: change_replicas::Change) -> Self {
        match change {
            change_replicas::Change::AddLearner(replica) => Self::AddLearner(raft::Replica {
                id: replica.replica_id,
                peer_address: replica.peer_address,
                zone: replica.zone,
                voter: false,
            }),
            change_replicas::Change::Promote(replica_id) => Self::Promote(replica_id),
            change_replicas::Change::Remove(replica_id) => Self::Remove(replica_id),
        }
    }
}
