use std::sync::Arc;
use std::time::Duration;

use crate::gateway::upstream::monotonic_us;
use crate::gateway::GatewayFleet;
use crate::teams::{Caller, QuotaInput, QuotaRegistry, RequestQuota, TeamQuota};

/// The quota of a caller's team, with what this host knows of the others.
pub(super) struct TeamGate<'a> {
    quota: &'a Arc<TeamQuota>,
    registry: &'a QuotaRegistry,
    fleet: &'a GatewayFleet,
}

impl<'a> TeamGate<'a> {
    /// The gate of a caller; `None` if no quota applies to it.
    pub(super) fn of(
        caller: &Caller<'a>,
        registry: &'a QuotaRegistry,
        fleet: &'a GatewayFleet,
    ) -> Option<Self> {
        match caller {
            Caller::Member(member) => member.quota.map(|quota| Self { quota, registry, fleet }),
            Caller::Unidentified | Caller::Anonymous => None,
        }
    }
}

impl RequestQuota for TeamGate<'_> {
    fn team(&self) -> &str {
        self.quota.name()
    }

    fn try_take(&self) -> Result<(), Duration> {
        let now_us = monotonic_us();
        self.quota.try_take(&QuotaInput {
            leader_silence: self.registry.leader_silence(now_us / 1_000),
            hosts: self.fleet.ready_entry_hosts(),
            now_us,
        })
    }

    fn take_rerun(&self) {
        self.quota.take_rerun();
    }

    fn give_back(&self) {
        self.quota.give_back();
    }
}
