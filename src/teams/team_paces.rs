use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::schema::peer::{EntryHost, TeamPaces as WirePaces, TeamUse};
use crate::schema::routes::RouteTable;
use crate::teams::paced_team::PacedTeam;
use crate::teams::quota_input::silence_limit;
use crate::teams::TeamLimit;

/// Time without a report after which a host counts as gone. Its counts stay, as it may come back.
const GONE_TIME: Duration = Duration::from_secs(60);
/// Time after the beginning of a term in which all hosts have reported, and the rate of requests is known.
const SETTLE_TIME: Duration = Duration::from_millis(400);

/// Requests of all teams with a quota over all hosts, from which the leader decides how much of them each host admits.
///
/// Answers the load of teams that send many times their quota to all hosts at once. Requests are counted where they are
/// admitted and added up here within the time of a report. A team below its quota costs nothing but its counts: hosts admit
/// its requests without asking. For a team that would exceed it, all hosts admit the same part of what arrives, so it does
/// not matter where its callers arrive. Each term of a leader has counts of its own.
#[derive(Debug)]
pub struct TeamPaces {
    tolerance_requests: u32,
    /// Number of these counts; hosts count from 0 once they hear of it.
    epoch: u64,
    /// Version of the routes that the limits are from.
    version: u64,
    /// When the first route table of the term was applied.
    opened: Option<Instant>,
    is_settled: bool,
    teams: BTreeMap<String, PacedTeam>,
    hosts: HashMap<String, ReportingHost>,
    /// Part of the hosts that report.
    heard_share: f64,
}

#[derive(Debug)]
struct ReportingHost {
    host_id: Arc<str>,
    /// Start of its process.
    started_at_unix_ms: u64,
    reported_at: Instant,
}

impl TeamPaces {
    /// Creates the counts of a new term.
    pub fn open(tolerance_requests: u32) -> Self {
        Self {
            tolerance_requests,
            epoch: rand::random_range(1..u64::MAX),
            version: 0,
            opened: None,
            is_settled: false,
            teams: BTreeMap::new(),
            hosts: HashMap::new(),
            heard_share: 1.0,
        }
    }

    /// Applies the limits of a route table; what was counted stays.
    pub fn set_routes(&mut self, table: &RouteTable, now: Instant) {
        if table.version == self.version {
            return;
        }
        let is_first = self.version == 0;
        self.opened.get_or_insert(now);
        self.version = table.version;
        let mut known = std::mem::take(&mut self.teams);
        for team in &table.teams {
            let Some(limit) = TeamLimit::of(team, self.tolerance_requests) else { continue };
            let paced = match known.remove(&team.name) {
                Some(mut paced) => {
                    paced.set_limit(limit, now);
                    paced
                }
                None => PacedTeam::new(limit, is_first, self.heard_share, now),
            };
            self.teams.insert(team.name.clone(), paced);
        }
    }

    /// Applies the report of an entry host. `epoch` names the counts that it belongs to: what a host admitted before it
    /// heard of this term is not known here.
    pub fn apply_report(&mut self, host: &EntryHost, epoch: u64, uses: &[TeamUse], now: Instant) {
        if epoch != self.epoch {
            return;
        }
        let known = self.hosts.get(&host.host_id);
        if known.is_none_or(|known| known.started_at_unix_ms != host.started_at_unix_ms) {
            self.forget(&host.host_id);
        }
        let known = self.hosts.entry(host.host_id.clone()).or_insert_with(|| ReportingHost {
            host_id: host.host_id.as_str().into(),
            started_at_unix_ms: host.started_at_unix_ms,
            reported_at: now,
        });
        known.reported_at = now;
        let host_id = known.host_id.clone();
        for reported in uses {
            let Some(team) = self.teams.get_mut(&reported.team) else { continue };
            team.apply(&host_id, reported, now);
        }
    }

    fn forget(&mut self, host_id: &str) {
        for team in self.teams.values_mut() {
            team.forget(host_id);
        }
        self.hosts.remove(host_id);
    }

    /// What entry hosts are to be told: teams of which they must not admit all requests.
    pub fn paces(&mut self, now: Instant) -> WirePaces {
        let is_settled = self.opened.is_some_and(|opened| now - opened >= SETTLE_TIME);
        if is_settled && !std::mem::replace(&mut self.is_settled, true) {
            for team in self.teams.values_mut() {
                team.settle(now);
            }
        }
        let paces = self.teams.iter_mut().filter_map(|(name, team)| team.pace(name, now));
        WirePaces { paces: paces.collect(), epoch: self.epoch, is_settled }
    }

    /// Leaves hosts that don't report their share of each quota. Called at short intervals. `entry_hosts` is the number of
    /// hosts that take callers, some of which may not have reported in this term.
    pub fn record_silence(&mut self, entry_hosts: usize, now: Instant) {
        let silence = silence_limit(entry_hosts as u32);
        let age = |host: &ReportingHost| now - host.reported_at;
        let heard = self.hosts.values().filter(|host| age(host) <= silence).count();
        let known = self.hosts.values().filter(|host| age(host) < GONE_TIME).count();
        let heard_share = heard as f64 / known.max(entry_hosts).max(1) as f64;
        if heard_share == self.heard_share {
            return;
        }
        self.heard_share = heard_share;
        for team in self.teams.values_mut() {
            team.set_heard_share(heard_share, now);
        }
    }
}
