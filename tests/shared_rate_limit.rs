//! Guards against an upstream that gets more requests than the rate it names, because each host counts
//! only its own, and against hosts that leave most of the rate unused.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use damaskhoist::admission::{rate_holders, HolderCandidate, RateLimit};
use damaskhoist::coordinator::RateShares;
use damaskhoist::directory::{Phase, UpstreamRecord};
use damaskhoist::gateway::{GatewayFleet, UpstreamNotice};
use damaskhoist::schema::peer::{EntryHost, UpstreamRate};
use proptest::prelude::*;
use rstest::rstest;

const UPSTREAM: &str = "upstream";
/// Length of the span in which requests are counted.
const SPAN_MS: u64 = 4_000;
/// Time between a report of a host and its next one.
const REPORT_INTERVAL_MS: u64 = 80;

/// Most requests in a span: one and a half times what the limit allows, and five.
fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * SPAN_MS as f64 / 1e3 + 5.0
}

/// Largest number of times in a span.
fn most_in_span(times_ms: &[u64]) -> usize {
    let count =
        |from: u64| times_ms.iter().filter(|at| (from..from + SPAN_MS).contains(*at)).count();
    times_ms.iter().map(|from| count(*from)).max().unwrap_or(0)
}

#[rstest]
#[case::less_than_one_a_second(0.4)]
#[case::a_few(3.5)]
#[case::many(200.0)]
fn one_host_keeps_to_the_rate_and_uses_it(#[case] per_second: f64) {
    let limit = RateLimit::default();
    limit.set(Some(per_second));
    let sent: Vec<u64> =
        (5_000..25_000).filter(|now_ms| limit.try_take(now_ms * 1_000, 1)).collect();
    assert!(most_in_span(&sent) as f64 <= allowed(per_second), "{}", most_in_span(&sent));
    assert!(sent.len() as f64 >= 0.9 * 20.0 * per_second, "only {} were sent", sent.len());
}

#[test]
fn without_a_limit_nothing_is_held_back() {
    let limit = RateLimit::default();
    assert!((0..100).all(|_| limit.try_take(1, 1)));
    limit.set(Some(1.0));
    assert!(!(0..100).all(|_| limit.try_take(1, 1)));
    limit.set(None);
    assert!((0..100).all(|_| limit.try_take(1, 1)));
}

/// An entry host of the simulation.
struct Host {
    limit: RateLimit,
    sent: u64,
    others: Option<u64>,
}

impl Host {
    fn open(per_second: f64) -> Self {
        let limit = RateLimit::default();
        limit.set(Some(per_second));
        Self { limit, sent: 0, others: None }
    }

    fn report(&self, upstream_id: &str, per_second: f64) -> UpstreamRate {
        UpstreamRate {
            upstream_id: upstream_id.to_owned(),
            limit_millis: (per_second * 1e3) as u64,
            age_ms: 0,
            sent: self.sent,
        }
    }

    fn hear(&mut self, told: &UpstreamRate, us: u64) {
        let before = self.others.replace(told.sent);
        self.limit.take(before.map_or(0, |before| told.sent - before), us);
    }

    fn sync(&mut self, id: &str, leader: &mut RateShares, per_second: f64, now: Instant, us: u64) {
        leader.apply_report(id, &[self.report(UPSTREAM, per_second)], now);
        for told in leader.for_host(id, now) {
            self.hear(&told, us);
        }
    }

    fn try_send(&mut self, us: u64) -> bool {
        let has_room = self.limit.try_take(us, 1);
        self.sent += u64::from(has_room);
        has_room
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Hosts that count each other's requests through the leader keep to the rate together, with batch
    /// items, and use most of it while there is demand.
    #[test]
    fn hosts_keep_to_the_rate_together(
        hosts in 2..14_usize,
        per_second in 2.0..40.0_f64,
        demand in 1.5..6.0_f64,
        batch_share in 0..3_u32,
        seed in any::<u64>(),
    ) {
        use rand::{rngs::StdRng, Rng, SeedableRng};
        let mut random = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut leader = RateShares::open(start);
        let mut fleet: Vec<Host> = (0..hosts).map(|_| Host::open(per_second)).collect();
        let mut sent = Vec::new();
        for now_ms in 0..16_000_u64 {
            let (now, us) = (start + Duration::from_millis(now_ms), now_ms * 1_000);
            for (index, host) in fleet.iter_mut().enumerate() {
                let offset = index as u64 * 17;
                if (now_ms + offset).is_multiple_of(REPORT_INTERVAL_MS) {
                    host.sync(&format!("host-{index}"), &mut leader, per_second, now, us);
                }
                let wants = random.random::<f64>() < demand * per_second / hosts as f64 / 1e3;
                if wants && host.try_send(us) {
                    sent.push(now_ms);
                }
            }
            let wants_item = random.random_ratio(batch_share, 20);
            if wants_item && now_ms > 1_000 && leader.has_batch_room(UPSTREAM, now) {
                leader.record_batch_item(UPSTREAM, now);
                sent.push(now_ms);
            }
        }
        let most = most_in_span(&sent);
        prop_assert!(most as f64 <= allowed(per_second), "{most} of {}", allowed(per_second));
        prop_assert!(sent.len() as f64 >= 0.7 * 16.0 * per_second, "only {} were sent", sent.len());
    }
}

/// Guards against hosts that each use the whole rate while no leader tells them of the others.
#[test]
fn hosts_without_a_leader_keep_to_their_shares() {
    const HOSTS: u32 = 12;
    let per_second = 3.5;
    let fleet: Vec<Host> = (0..HOSTS).map(|_| Host::open(per_second)).collect();
    let mut sent = Vec::new();
    for now_ms in 0..20_000_u64 {
        for host in &fleet {
            // Before the leader is lost, all hosts have used up the rate.
            let share = if now_ms < 2_000 { 1 } else { HOSTS };
            if now_ms < 2_000 {
                host.limit.take(u64::from(now_ms % 280 == 0), now_ms * 1_000);
            } else if host.limit.try_take(now_ms * 1_000, share) {
                sent.push(now_ms);
            }
        }
    }
    assert!(most_in_span(&sent) as f64 <= allowed(per_second), "{}", most_in_span(&sent));
}

/// A message between a host and the leader of the larger fleet below.
enum Message {
    Report(UpstreamRate),
    /// The leader answers the report.
    Answer,
    Told(Vec<UpstreamRate>),
}

/// A fleet whose hosts hear of each other's requests late.
struct LargeFleet {
    hosts: usize,
    upstreams: usize,
    per_second: f64,
    /// Requests that want an upstream, in one second of a burst and of a calm span.
    burst_per_s: f64,
    calm_per_s: f64,
    /// Time for which the leader holds a report before it answers, and the one-way delay to it.
    answer_ms: u64,
    delay_ms: u64,
}

impl LargeFleet {
    /// Upstreams whose limit a host shares.
    fn held_by(&self, host: usize) -> Vec<usize> {
        let host_ids: Vec<String> = (0..self.hosts).map(|host| format!("host-{host}")).collect();
        let candidates = host_ids.iter().map(|host_id| HolderCandidate { host_id, is_near: true });
        let candidates: Vec<HolderCandidate<'_>> = candidates.collect();
        let is_held = |upstream: &usize| {
            let upstream_id = upstream.to_string();
            rate_holders(&candidates, &host_ids[host], &upstream_id, self.upstreams).is_some()
        };
        (0..self.upstreams).filter(is_held).collect()
    }

    /// Times of the requests that each upstream got.
    fn play(&self, for_ms: u64, seed: u64) -> Vec<Vec<u64>> {
        use rand::{rngs::StdRng, seq::SliceRandom, Rng, SeedableRng};
        let mut random = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut leader = RateShares::open(start);
        let new_host = |_| (0..self.upstreams).map(|_| Host::open(self.per_second)).collect();
        let mut fleet: Vec<Vec<Host>> = (0..self.hosts).map(new_host).collect();
        let mut messages: BTreeMap<u64, Vec<(usize, Message)>> = BTreeMap::new();
        let mut sent = vec![Vec::new(); self.upstreams];
        let held: Vec<Vec<usize>> = (0..self.hosts).map(|host| self.held_by(host)).collect();
        let round_ms = self.answer_ms + 2 * self.delay_ms;
        for now_ms in 0..for_ms {
            let (now, us) = (start + Duration::from_millis(now_ms), now_ms * 1_000);
            for (host, upstreams) in fleet.iter().enumerate() {
                if !(now_ms + host as u64 * 7).is_multiple_of(round_ms) {
                    continue;
                }
                for (index, upstream) in upstreams.iter().enumerate() {
                    let report = upstream.report(&index.to_string(), self.per_second);
                    let at_ms = now_ms + self.delay_ms;
                    messages.entry(at_ms).or_default().push((host, Message::Report(report)));
                }
                let told_ms = now_ms + self.delay_ms + self.answer_ms;
                messages.entry(told_ms).or_default().push((host, Message::Answer));
            }
            for (host, message) in messages.remove(&now_ms).unwrap_or_default() {
                let host_id = format!("host-{host}");
                match message {
                    Message::Report(report) => leader.apply_report(&host_id, &[report], now),
                    Message::Answer => {
                        let told = Message::Told(leader.for_host(&host_id, now));
                        messages.entry(now_ms + self.delay_ms).or_default().push((host, told));
                    }
                    Message::Told(rates) => rates.iter().for_each(|told| {
                        let index: usize = told.upstream_id.parse().unwrap();
                        fleet[host][index].hear(told, us);
                    }),
                }
            }
            let per_s = if now_ms % 6_600 < 2_800 { self.burst_per_s } else { self.calm_per_s };
            for _ in 0..(random.random::<f64>() + per_s / 1e3) as usize {
                let host = random.random_range(0..self.hosts);
                let mut choices = held[host].clone();
                choices.shuffle(&mut random);
                let mut choices = choices.into_iter();
                let Some(index) = choices.find(|index| fleet[host][*index].try_send(us)) else {
                    continue;
                };
                sent[index].push(now_ms);
            }
        }
        sent
    }
}

/// Guards against a small limit that many hosts exceed because they all see it free at the same time,
/// before they hear of each other.
#[rstest]
#[case::grown(59, 78, 2.5)]
#[case::large(170, 74, 3.5)]
#[case::few_upstreams(59, 12, 3.5)]
fn many_hosts_keep_to_small_rates_in_bursts(
    #[case] hosts: usize,
    #[case] upstreams: usize,
    #[case] per_second: f64,
) {
    let capacity_per_s = upstreams as f64 * per_second;
    let fleet = LargeFleet {
        hosts,
        upstreams,
        per_second,
        burst_per_s: 2.5 * capacity_per_s,
        calm_per_s: 0.5 * capacity_per_s,
        answer_ms: 2 * hosts as u64,
        delay_ms: 20,
    };
    let sent = fleet.play(14_000, 7);
    for times_ms in &sent {
        let most = most_in_span(times_ms);
        assert!(most as f64 <= allowed(per_second), "{most} of {}", allowed(per_second));
    }
    let used = sent.iter().map(Vec::len).sum::<usize>() as f64 / (14.0 * capacity_per_s);
    assert!(used >= 0.6, "only {used} of the rate was used");
}

/// Guards against a host that goes by an old list of hosts when an upstream names a limit again, and against
/// one that sends to a limited upstream though others share the limit.
#[test]
fn a_host_shares_a_limit_by_the_current_list_of_hosts() {
    let hosts = |count: usize| {
        let host = |number| EntryHost {
            host_id: format!("host-{number}"),
            ready: true,
            ..EntryHost::default()
        };
        Arc::new((0..count).map(|number| Arc::new(host(number))).collect::<Vec<_>>())
    };
    let record = |number: usize| UpstreamRecord {
        upstream_id: format!("upstream-{number:02}"),
        service: "engraver".into(),
        address: "10.0.0.1:80".into(),
        zone: "santander".into(),
        region: "cantabria".into(),
        version: "v1".into(),
        slots: 8,
        phase: Phase::Ready,
        started_at_unix_ms: 1,
        sequence: 1,
    };
    let fleet = GatewayFleet::default();
    fleet.replace(&(0..30).map(record).collect::<Vec<_>>());
    let names_limit = |rate_limit| {
        let notice = UpstreamNotice { rate_limit, ..UpstreamNotice::default() };
        fleet.record_answer_notice(&fleet.load()[0], &notice);
    };
    let may_send = || fleet.load()[0].try_send(true);
    names_limit(Some(1e6));
    let shares = |number: &usize| {
        fleet.set_entry_hosts(&format!("host-{number}"), &hosts(40));
        may_send()
    };
    let sharing: Vec<usize> = (0..40).filter(shares).collect();
    assert_eq!(sharing.len(), 4, "{sharing:?}");
    let other = (0..40).find(|number| !sharing.contains(number)).unwrap();
    fleet.set_entry_hosts(&format!("host-{other}"), &hosts(40));
    assert!(!may_send());
    names_limit(None);
    assert!(may_send(), "no limit is named");
    let alone = Arc::new(vec![hosts(40)[other].clone()]);
    fleet.set_entry_hosts(&format!("host-{other}"), &alone);
    names_limit(Some(1e6));
    assert!(may_send(), "it is the only host now");
}
