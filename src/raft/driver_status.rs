use std::sync::Arc;

use crate::raft::driver::Driver;
use crate::raft::{GroupStatus, Standing};

/// Values whose change causes the status to be published.
pub type PublishedFields = (u64, Option<u64>, u64, u64, bool, Standing, (bool, bool), u64, u64);

/// Interval at which a replica publishes its status without other changes while it has ages that
/// grow without any event: of its followers' last replies, or of work that waits.
const AGE_INTERVAL_MS: u64 = 200;

impl Driver {
    /// Publishes the status if it changed.
    pub(super) fn publish(&mut self) {
        let node = &self.node;
        let now_ms = self.now_ms();
        let oldest_write_ms = node.oldest_write_ms(now_ms);
        let oldest_unapplied_ms = node.oldest_unapplied_ms(now_ms);
        let has_ages = node.is_leader() || oldest_write_ms + oldest_unapplied_ms > 0;
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
            if has_ages { now_ms / AGE_INTERVAL_MS } else { 0 },
        );
        if self.published == Some(current) {
            return;
        }
        let has_applied = self.published.is_none_or(|published| published.3 != self.applied_index);
        self.published = Some(current);
        let followers = node.followers(now_ms);
        self.catch_up_log.observe(now_ms, node.log().last_index(), &followers);
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
            log_bytes: node.log().bytes(),
            snapshot_bytes: node.snapshot_size().map_or(0, |size| size.file_bytes),
            state_bytes: node.snapshot_size().map_or(0, |size| size.state_bytes),
            sent_entry_bytes: self.catch_up_log.sent_entry_bytes(),
            sent_snapshot_bytes: self.catch_up_log.sent_snapshot_bytes(),
            followers,
            catch_up_index: node.catch_up_index(now_ms),
            oldest_write_ms,
            oldest_unapplied_ms,
            confirmed_age_ms: node.confirmed_age_ms(now_ms),
            driver_late_ms: self.delays.late_ms(now_ms),
            driver_pass_ms: self.delays.pass_ms(now_ms),
        };
        self.context.status.store(Arc::new(status));
        if has_applied {
            self.context.applied.notify();
        }
    }
}
