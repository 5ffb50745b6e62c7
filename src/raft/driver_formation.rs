use crate::raft::driver::Driver;
use crate::raft::formation::FormationState;
use crate::raft::storage_thread::StorageJob;
use crate::raft::Standing;
use crate::schema::peer;
use crate::schema::peer::raft_message::Body as WireBody;

/// Formation of a new group, and changes of a replica's standing.
impl Driver {
    /// Sends the nonce of this replica to the other initial replicas at regular intervals.
    pub(super) fn tick_formation(&mut self, now_ms: u64) {
        let Some(formation) = &self.formation else { return };
        if now_ms < self.formation_due_ms {
            return;
        }
        self.formation_due_ms = now_ms + 2 * self.options.heartbeat_interval_ms;
        for to in formation.peers().collect::<Vec<_>>() {
            self.send_formation(to);
        }
    }

    fn send_formation(&mut self, to: u64) {
        let Some(address) = self.address(to) else { return };
        let founders = self.identity.founders.iter();
        let formation = peer::Formation {
            nonce: self.identity.nonce,
            formed: self.formation.is_none(),
            founders: founders
                .map(|&(replica_id, nonce)| peer::FoundingReplica { replica_id, nonce })
                .collect(),
        };
        let message = peer::RaftMessage {
            group: self.options.group,
            from: self.options.replica_id,
            to,
            body: Some(WireBody::Formation(formation)),
            ..Default::default()
        };
        self.context.transport.send(&address, message);
    }

    pub(super) fn handle_formation(&mut self, from: u64, message: peer::Formation) {
        let Some(formation) = &mut self.formation else {
            if !message.formed {
                self.send_formation(from);
            }
            return;
        };
        match message.formed {
            true => {
                let founders = message.founders.iter();
                let founders: Vec<_> =
                    founders.map(|founder| (founder.replica_id, founder.nonce)).collect();
                formation.record_formed_group(&founders);
            }
            false => formation.record_nonce(from, message.nonce),
        }
        self.check_formation();
    }

    /// Stores the identity of a member once the group is formed, or reports that this replica was
    /// rejected.
    pub(super) fn check_formation(&mut self) {
        let Some(formation) = &self.formation else { return };
        match formation.state() {
            FormationState::Waiting => {}
            FormationState::Refused => {
                let reason = "the group exists and knows another identity of this replica; \
                              join it under a new replica id";
                if self.fault.is_none() {
                    log::error!("group {}: {reason}", self.options.group);
                }
                self.fault = Some(reason.into());
            }
            FormationState::Formed(founders) => {
                if self.identity.standing != Standing::Member {
                    self.identity = self.identity.formed(founders);
                    self.write(Some(self.identity.clone()), Vec::new());
                }
            }
        }
    }

    /// Stores that the replica may vote, and clears its fault.
    pub(super) fn record_membership(&mut self) {
        log::info!("group {}: replica has caught up and may vote", self.options.group);
        self.identity.standing = Standing::Member;
        self.write(Some(self.identity.clone()), Vec::new());
        self.send_job(StorageJob::DiscardQuarantined);
        self.fault = None;
    }

    /// Handles a stored identity with this standing.
    pub(super) fn standing_persisted(&mut self, now_ms: u64, standing: Standing) {
        if standing != Standing::Member || self.node.standing() == Standing::Member {
            return;
        }
        self.node.become_member(now_ms);
        self.formation = None;
    }
}
