use crate::raft::{Group, StateMachine};

/// A state machine that a [`crate::replication::ReplicaManager`] replicates.
pub trait ReplicatedMachine: StateMachine {
    /// True if operators have retired the host with this name, so that no replica may stay on it.
    fn is_retired(&self, host_id: &str) -> bool;
}

/// A replica and the state machine that it alone applies the log to. Readers that have confirmed an
/// index with the group find its state in this machine, also after the host got another replica.
pub struct RunningReplica<M> {
    /// The replica.
    pub group: Group,
    /// Its state machine.
    pub machine: std::sync::Arc<M>,
}
