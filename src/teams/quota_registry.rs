use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::schema::peer::{TeamPace, TeamPaces, TeamUse};
use crate::schema::routes::Team;
use crate::teams::{TeamLimit, TeamQuota};

/// The quotas of all teams at an entry host. They outlive the route tables, so that a new version forgives nothing.
#[derive(Debug, Default)]
pub struct QuotaRegistry {
    host_id: String,
    tolerance_requests: u32,
    /// Epoch of the counts of the leader that this host last heard of.
    epoch: AtomicU64,
    /// When the leader last told the paces; 0 if it never did.
    told_at_ms: AtomicU64,
    by_team: ArcSwap<BTreeMap<String, Arc<TeamQuota>>>,
}

impl QuotaRegistry {
    /// Creates the registry of a host, without teams. All hosts together may exceed a quota by `tolerance_requests`.
    pub fn new(host_id: &str, tolerance_requests: u32) -> Self {
        Self { host_id: host_id.to_owned(), tolerance_requests, ..Self::default() }
    }

    /// Replaces the teams. Returns their quotas in the same order; `None` for those without a limit.
    pub fn update(&self, teams: &[Team]) -> Vec<Option<Arc<TeamQuota>>> {
        let known = self.by_team.load();
        let quotas = teams.iter().map(|team| {
            let limit = TeamLimit::of(team, self.tolerance_requests)?;
            Some(match known.get(&team.name) {
                Some(quota) => {
                    quota.set_limit(limit);
                    quota.clone()
                }
                None => Arc::new(TeamQuota::new(&team.name, limit, &self.host_id)),
            })
        });
        let quotas: Vec<Option<Arc<TeamQuota>>> = quotas.collect();
        let by_team = quotas.iter().flatten();
        let by_team = by_team.map(|quota| (quota.name().to_owned(), quota.clone())).collect();
        self.by_team.store(Arc::new(by_team));
        quotas
    }

    /// Applies what the leader tells; teams that it leaves out are below their quota.
    pub fn apply(&self, told: &TeamPaces, now_ms: u64) {
        let is_new = self.epoch.swap(told.epoch, Ordering::AcqRel) != told.epoch;
        for (name, quota) in self.by_team.load().iter() {
            if is_new {
                quota.begin_epoch(now_ms);
            }
            if !told.is_settled {
                continue;
            }
            let pace = told.paces.iter().find(|pace: &&TeamPace| pace.team == *name);
            quota.set_pace(pace);
        }
        if told.is_settled {
            self.told_at_ms.store(now_ms.max(1), Ordering::Release);
        }
    }

    /// Time since the leader last told the paces; `None` if it never did.
    pub fn leader_silence(&self, now_ms: u64) -> Option<Duration> {
        let told_at_ms = self.told_at_ms.load(Ordering::Acquire);
        (told_at_ms > 0).then(|| Duration::from_millis(now_ms.saturating_sub(told_at_ms)))
    }

    /// The report to the leader: teams with requests lately, and the epoch that their counts belong to.
    pub fn report(&self, now_ms: u64) -> (Vec<TeamUse>, u64) {
        let epoch = self.epoch.load(Ordering::Acquire);
        let by_team = self.by_team.load();
        (by_team.values().filter_map(|quota| quota.report(now_ms)).collect(), epoch)
    }

    /// Number of teams that the leader holds below what they ask for.
    pub fn paced_teams(&self) -> usize {
        let by_team = self.by_team.load();
        by_team.values().filter(|quota| quota.is_paced()).count()
    }
}
