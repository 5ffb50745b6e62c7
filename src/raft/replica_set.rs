/// One replica of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Replica id, never reused within a group. 0 stands for no replica.
    pub id: u64,
    /// Peer address of its process.
    pub peer_address: String,
    /// Availability zone of the replica.
    pub zone: String,
    /// False for a learner, which receives the log but does not count for quorums.
    pub voter: bool,
}

/// The replicas of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSet {
    /// All replicas, voters and learners.
    pub replicas: Vec<Replica>,
    /// Highest replica id that was ever part of the group.
    pub highest_id: u64,
}

/// A change of one replica of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaChange {
    /// Adds a learner.
    AddLearner(Replica),
    /// Promotes a learner that has caught up to voter.
    Promote(u64),
    /// Removes a replica permanently.
    Remove(u64),
}

impl ReplicaSet {
    /// The replica set of a new group.
    pub fn new(replicas: Vec<Replica>) -> Self {
        let highest_id = replicas.iter().map(|replica| replica.id).max().unwrap_or(0);
        Self { replicas, highest_id }
    }

    /// The replica with this id.
    pub fn get(&self, id: u64) -> Option<&Replica> {
        self.replicas.iter().find(|replica| replica.id == id)
    }

    /// True if `id` is a voter.
    pub fn is_voter(&self, id: u64) -> bool {
        self.get(id).is_some_and(|replica| replica.voter)
    }

    /// Ids of the voters.
    pub fn voters(&self) -> impl Iterator<Item = u64> + '_ {
        self.replicas.iter().filter(|replica| replica.voter).map(|replica| replica.id)
    }

    /// Number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// True if the voters that satisfy `predicate` form a quorum.
    pub fn is_quorum(&self, predicate: impl Fn(u64) -> bool) -> bool {
        self.voters().filter(|&id| predicate(id)).count() >= self.quorum()
    }

    /// The highest value that a quorum of voters has reached; 0 if there are no voters.
    pub fn quorum_value(&self, value: impl Fn(u64) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// The replica set after `change`, or the reason why the change is rejected.
    pub fn changed(&self, change: &ReplicaChange) -> Result<Self, String> {
        let mut set = self.clone();
        match change {
            ReplicaChange::AddLearner(replica) if replica.id <= self.highest_id => {
                let (id, highest) = (replica.id, self.highest_id);
                return Err(format!("replica id {id} is not above {highest}; ids are used once"));
            }
            ReplicaChange::AddLearner(replica) => {
                set.highest_id = replica.id;
                set.replicas.push(Replica { voter: false, ..replica.clone() });
            }
            ReplicaChange::Promote(id) => {
                let replica = set.replicas.iter_mut().find(|replica| replica.id == *id);
                replica.ok_or_else(|| format!("no replica {id}"))?.voter = true;
            }
            ReplicaChange::Remove(id) => {
                set.replicas.retain(|replica| replica.id != *id);
                if set.replicas.len() == self.replicas.len() {
                    return Err(format!("no replica {id}"));
                }
                if set.voters().next().is_none() {
                    return Err(format!("replica {id} is the last voter"));
                }
            }
        }
        Ok(set)
    }
}
