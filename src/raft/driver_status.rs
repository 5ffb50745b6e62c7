use std::sync::Arc;

use crate::raft::driver::Driver;
use crate::raft::{GroupStatus, Standing};

/// Values whose change causes the status to be published.
pub type PublishedFields = (u64, Option<u64>, u64, u64, bool, Standing, (bool, bool), u64, u64);

/// Interval at which a leader publishes its status without other changes, since the time since its
/// followers' last replies grows without any event.
const LEADER_INTERVAL_MS: u64 = 200;

impl Driver {
    /// Publishes the status if it changed.
    pub(super) fn publish(&mut self) {
        let node = &self.node;
        let data_bytes = self.context.disk_quota.used_bytes();
        let current = (
            node.hard_state().term,
            node.leader_id(),
            node.commit_index(),
            self.applied_index,
            node.is_leader(),
            node.standing(),
            (self.fault.is_some(), self.is_stopped()),
            data_bytes,
            if node.is_leader() { self.now_ms() / LEADER_INTERVAL_MS } else { 0 },
        );
        if self.published == Some(current) {
            return;
        }
        let has_applied = self.published.is_none_or(|published| published.3 != self.applied_index);
        self.published = Some(current);
        let status = GroupStatus {
            group: self.options.group,
            replica_id: self.options.replica_id,
            is_leader: node.is_leader() && !self.is_stopped(),
            leader_id: node.leader_id().filter(|_| !self.is_stopped()),
            leader_address: self.leader_address(),
            term: node.hard_state().term,
            commit_index: node.commit_index(),
            applied_index: self.applied_index,
            first_index: node.log().first_index(),
            last_index: node.log().last_index(),
            snapshot_index: node.snapshot().last_index,
            replicas: node.replicas().clone(),
            may_vote: node.standing() == Standing::Member && !self.is_stopped(),
            is_stopped: self.is_stopped(),
            storage_failures: self.storage_failures,
            fault: self.fault.clone(),
            data_bytes,
            followers: node.followers(self.now_ms()),
        };
        self.context.status.store(Arc::new(status));
        if has_applied {
            self.context.applied.notify();
        }
    }
}
