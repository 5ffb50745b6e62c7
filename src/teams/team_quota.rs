use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::admission::rendezvous_rank;
use crate::schema::peer::{TeamPace, TeamUse};
use crate::teams::local_share::LocalShare;
use crate::teams::quota_input::silence_limit;
use crate::teams::recent_takes::RecentTakes;
use crate::teams::{QuotaInput, TeamLimit};

/// Pace at which all requests are admitted, in millionths.
const WHOLE: u64 = 1_000_000;
/// Shortest retry delay of a request over its quota. Callers retry once.
const MIN_RETRY_AFTER_MS: u64 = 500;
/// Longest one.
const MAX_RETRY_AFTER_MS: u64 = 5_000;
/// Retry delay while the host keeps to its share; a leader is elected in about that time.
const RETRY_AFTER_ALONE_MS: u64 = 1_000;
/// Time for which a team is reported after its last request, in case a report is lost.
const REPORT_TIME_MS: u64 = 500;

/// The quota of a team at one entry host.
///
/// Answers the load of a team that sends many times its quota, a few requests to each of many hosts. The leader tells
/// each host which part of the team's requests to admit; hosts admit all requests of teams below their quota without
/// asking. Lock-free.
#[derive(Debug)]
pub struct TeamQuota {
    name: String,
    limit: ArcSwap<TeamLimit>,
    asked: AtomicU64,
    taken: AtomicU64,
    /// Time of the last request or of the last epoch.
    changed_at_ms: AtomicU64,
    /// Requests before this host heard of the epoch of the leader's counts.
    asked_before: AtomicU64,
    taken_before: AtomicU64,
    recent: RecentTakes,
    /// Requests of the last seconds before this host heard of the epoch.
    carried: AtomicU64,
    /// Admitted requests in a million.
    pace: AtomicU64,
    refill_ms: AtomicU32,
    /// Parts of admitted requests so far, in millionths; each whole one admits a request.
    admitted: AtomicU64,
    alone: LocalShare,
}

impl TeamQuota {
    /// Creates the quota of a team without requests so far at a host.
    pub fn new(name: &str, limit: TeamLimit, host_id: &str) -> Self {
        let phase = rendezvous_rank(name.as_bytes(), host_id);
        Self {
            name: name.to_owned(),
            limit: ArcSwap::from_pointee(limit),
            asked: AtomicU64::new(0),
            taken: AtomicU64::new(0),
            changed_at_ms: AtomicU64::new(0),
            asked_before: AtomicU64::new(0),
            taken_before: AtomicU64::new(0),
            recent: RecentTakes::default(),
            carried: AtomicU64::new(0),
            pace: AtomicU64::new(WHOLE),
            refill_ms: AtomicU32::new(0),
            // Hosts that start together must not admit their first requests together.
            admitted: AtomicU64::new(phase % WHOLE),
            alone: LocalShare::new(phase),
        }
    }

    /// Name of the team.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sets the limit of a newer route table.
    pub fn set_limit(&self, limit: TeamLimit) {
        self.limit.store(limit.into());
    }

    /// Counts a request, and admits it if the quota allows it.
    ///
    /// # Errors
    /// The time after which the caller may come back.
    pub fn try_take(&self, input: &QuotaInput) -> Result<(), Duration> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        self.changed_at_ms.store(input.now_us / 1_000, Ordering::Relaxed);
        let limit = self.limit.load();
        let unheard_time = limit.unheard_time(silence_limit(input.hosts));
        let alone = input.leader_silence.is_none_or(|silence| silence > unheard_time);
        let is_admitted = match alone {
            true => {
                let silent_us = input.leader_silence.map_or(u64::MAX, |it| it.as_micros() as u64);
                // The time of the last word, on the millisecond, names the span without a leader.
                let span = 1 + input.now_us.saturating_sub(silent_us) / 1_000;
                let was_paced = self.is_paced();
                self.alone.try_take(&limit, was_paced, input.hosts, span, input.now_us)
            }
            false => self.keeps_pace(),
        };
        if is_admitted {
            self.taken.fetch_add(1, Ordering::Relaxed);
            self.recent.record(input.now_us / 1_000);
            return Ok(());
        }
        let delay_ms = match alone {
            true => RETRY_AFTER_ALONE_MS,
            false => u64::from(self.refill_ms.load(Ordering::Relaxed)),
        };
        Err(spread(delay_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)))
    }

    /// Admits the part of the requests that the leader named, evenly spaced.
    fn keeps_pace(&self) -> bool {
        let pace = self.pace.load(Ordering::Relaxed);
        if pace >= WHOLE {
            return true;
        }
        let before = self.admitted.fetch_add(pace, Ordering::Relaxed);
        before / WHOLE != (before + pace) / WHOLE
    }

    /// Counts one more run of a request that was admitted.
    pub fn take_rerun(&self) {
        self.taken.fetch_add(1, Ordering::Relaxed);
    }

    /// Gives back the place of a request that did not run.
    pub fn give_back(&self) {
        // The closure always returns a value, so the update succeeds.
        let _ = self.taken.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |taken| {
            Some(taken.saturating_sub(1))
        });
    }

    /// Applies what the leader tells; `None` if it lets all requests pass.
    pub fn set_pace(&self, pace: Option<&TeamPace>) {
        let millionths = pace.map_or(WHOLE, |pace| u64::from(pace.admitted_millionths));
        let before = self.pace.swap(millionths, Ordering::Relaxed);
        self.refill_ms.store(pace.map_or(0, |pace| pace.refill_ms), Ordering::Relaxed);
        if (before < WHOLE) != (millionths < WHOLE) {
            log::info!(event = "team_pace", team = self.name.as_str(),
                admitted_millionths = millionths; "the leader changed what the team's quota leaves");
        }
    }

    /// True if the leader lets this host admit only a part of the requests.
    pub fn is_paced(&self) -> bool {
        self.pace.load(Ordering::Relaxed) < WHOLE
    }

    /// Admitted requests in a million, as the leader last told.
    pub fn pace_millionths(&self) -> u64 {
        self.pace.load(Ordering::Relaxed)
    }

    /// Begins to count anew, for the counts of another leader, who is told of the last seconds.
    pub fn begin_epoch(&self, now_ms: u64) {
        self.carried.store(self.recent.count(now_ms), Ordering::Relaxed);
        self.asked_before.store(self.asked.load(Ordering::Relaxed), Ordering::Relaxed);
        self.taken_before.store(self.taken.load(Ordering::Relaxed), Ordering::Relaxed);
        self.changed_at_ms.store(now_ms, Ordering::Relaxed);
    }

    /// The report to the leader; `None` if no request came lately.
    pub fn report(&self, now_ms: u64) -> Option<TeamUse> {
        let asked = self.asked.load(Ordering::Relaxed);
        let changed_at_ms = self.changed_at_ms.load(Ordering::Relaxed);
        (asked > 0 && now_ms.saturating_sub(changed_at_ms) <= REPORT_TIME_MS).then(|| TeamUse {
            team: self.name.clone(),
            carried: self.carried.load(Ordering::Relaxed),
            asked: asked.saturating_sub(self.asked_before.load(Ordering::Relaxed)),
            taken: self
                .taken
                .load(Ordering::Relaxed)
                .saturating_sub(self.taken_before.load(Ordering::Relaxed)),
        })
    }
}

/// A delay between this one and half as much again, so that callers who were refused together don't come back together.
fn spread(delay_ms: u64) -> Duration {
    Duration::from_millis(delay_ms + rand::random_range(0..=delay_ms / 2))
}
