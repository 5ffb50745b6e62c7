//! Guards against an upstream that gets more requests than the rate it names, because each host counts
//! only its own, and against hosts that leave most of the rate unused.

use std::time::{Duration, Instant};

use damaskhoist::admission::RateLimit;
use damaskhoist::coordinator::RateShares;
use damaskhoist::schema::peer::UpstreamRate;
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

    fn sync(&mut self, id: &str, leader: &mut RateShares, per_second: f64, now: Instant, us: u64) {
        let report = UpstreamRate {
            upstream_id: UPSTREAM.to_owned(),
            limit_millis: (per_second * 1e3) as u64,
            age_ms: 0,
            sent: self.sent,
        };
        leader.apply_report(id, &[report], now);
        for told in leader.for_host(id, now) {
            let before = self.others.replace(told.sent);
            self.limit.take(before.map_or(0, |before| told.sent - before), us);
        }
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
                if wants && host.limit.try_take(us, 1) {
                    host.sent += 1;
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
