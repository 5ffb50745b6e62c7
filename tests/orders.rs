//! Orders to upstreams: leases under races, the plan of loads, and a stand-in engine.

mod support;

use std::time::Duration;

use async_std::task;
use damaskhoist::membership::{UpstreamModel, UpstreamRecord};
use damaskhoist::orders::{Order, OrderKind, OrderLease, OrderPlan, Wanted};
use damaskhoist::schema::config::{edit, Edit, Model, Service};
use damaskhoist::schema::state::{command, ChangeConfiguration, Command};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{wait_until, Cluster, ClusterOptions, MODEL, SERVICE};

const LEASE_MS: u64 = 1_000;
const FLIGHT_MS: u64 = 200;

/// The fence of the replicated state, whose clock may jump forward with a new leader.
#[derive(Default)]
struct NaiveFence {
    last: u64,
    holder: usize,
    ends_ms: u64,
}

impl NaiveFence {
    fn take(&mut self, holder: usize, now_ms: u64) -> Option<u64> {
        let held = self.ends_ms > now_ms;
        if held && self.holder != holder {
            return None;
        }
        if !held {
            self.last += 1;
        }
        self.holder = holder;
        self.ends_ms = now_ms + LEASE_MS;
        Some(self.last)
    }
}

/// Guards against an order of an old controller that takes effect after a new one's first order,
/// at an upstream that ignores fencing numbers and at one that checks them.
#[rstest]
fn no_old_order_follows_a_new_one(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(false, true)] checks: bool,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fence = NaiveFence::default();
    let mut leases = [OrderLease::new(LEASE_MS, FLIGHT_MS), OrderLease::new(LEASE_MS, FLIGHT_MS)];
    let mut paused_until = [0; 2];
    // Clocks of the controllers differ from each other's and from the state's.
    let offsets = [random.random_range(0..10_000), random.random_range(0..10_000)];
    let mut questions: Vec<(u64, usize, u64)> = Vec::new();
    let mut answers: Vec<(u64, usize, u64, Option<u64>)> = Vec::new();
    let mut orders: Vec<(u64, u64)> = Vec::new();
    let (mut clock_jump, mut newest, mut takeovers, mut applied) = (0, 0, 0, 0);
    for now in 0..60_000_u64 {
        // A new leader's clock may be ahead, so that a lease ends early by up to its length.
        if random.random_bool(0.0002) {
            clock_jump += random.random_range(0..LEASE_MS);
        }
        for (_, holder, asked) in take_due(&mut questions, |it| it.0 <= now) {
            let number = fence.take(holder, now + clock_jump);
            answers.push((now + random.random_range(1..150), holder, asked, number));
        }
        for (_, holder, asked, number) in take_due(&mut answers, |it| it.0 <= now) {
            match number {
                Some(number) => {
                    leases[holder].note_granted(number, asked, now + offsets[holder]);
                }
                None => leases[holder].note_lost(),
            }
        }
        for (holder, lease) in leases.iter().enumerate() {
            if random.random_bool(0.0003) {
                paused_until[holder] = now + random.random_range(0..3 * LEASE_MS);
            }
            if now < paused_until[holder] {
                continue;
            }
            let local = now + offsets[holder];
            let asks = questions.iter().any(|it| it.1 == holder);
            if lease.is_due(local) && !asks && random.random_bool(0.02) {
                questions.push((now + random.random_range(1..150), holder, local));
            }
            if random.random_bool(0.05) {
                if let Some(number) = lease.fence(local, checks) {
                    orders.push((now + random.random_range(0..=FLIGHT_MS), number));
                }
            }
        }
        for (_, number) in take_due(&mut orders, |it| it.0 <= now) {
            if checks && number < newest {
                continue;
            }
            assert!(number >= newest, "at {now} ms an order under {number} followed {newest}");
            takeovers += u32::from(number > newest);
            applied += 1;
            newest = number;
        }
    }
    assert!(takeovers >= 3 && applied > 100, "{takeovers} takeovers, {applied} orders");
}

/// Guards against two controllers in a row that send under the number of one lease.
#[test]
fn a_late_answer_does_not_bring_an_old_number_back() {
    let mut lease = OrderLease::new(LEASE_MS, FLIGHT_MS);
    lease.note_granted(7, 5_000, 5_010);
    lease.note_granted(6, 4_000, 5_020);
    assert_eq!(lease.fence(5_030, true), Some(7));
    assert_eq!(lease.fence(5_030, false), None);
    assert_eq!(lease.fence(5_000 + LEASE_MS - FLIGHT_MS, true), None);
    lease.note_lost();
    assert_eq!(lease.fence(5_030, true), None);
}

/// Guards against loads that exceed the weight store's rate, a burst after a zone returns, and
/// batch models that are loaded before the one that online requests wait for.
#[test]
fn loads_follow_the_rate_and_the_need() {
    let records: Vec<_> = (0..30).map(|index| upstream(index, &[])).collect();
    let upstreams: Vec<_> = records.iter().map(|record| (record, 1)).collect();
    let wanted = |model: &str, is_waited_for| Wanted {
        model: model.to_owned(),
        version: "1".to_owned(),
        upstreams: 10,
        weight_bytes: 1_000,
        is_waited_for,
        ..Wanted::default()
    };
    let wanted = [wanted("a", false), wanted("z", true)];
    let mut plan = OrderPlan::default();
    let mut sent = Vec::new();
    // One load takes 2 s of the store.
    for second in 0..20 {
        for order in plan.step(second * 1_000, &wanted, &upstreams, 500) {
            plan.note_accepted(&order.target);
            sent.push((second, order));
        }
    }
    assert_eq!(sent.iter().map(|(second, _)| *second).collect::<Vec<_>>(), [0, 2, 4, 6]);
    assert!(sent.iter().all(|(_, order)| order.target.model == "z"), "{sent:?}");
    let mut unbounded = OrderPlan::default();
    assert_eq!(unbounded.step(0, &wanted, &upstreams, 0).len(), 4);
}

/// Guards against an order that is sent under a new id, which an upstream would run twice, or
/// under a used id, which it would ignore.
#[test]
fn order_ids_change_with_the_order_only() {
    let record = upstream(0, &[]);
    let wanted = [Wanted {
        model: "a".to_owned(),
        version: "2".to_owned(),
        upstreams: 1,
        ..Wanted::default()
    }];
    let mut plan = OrderPlan::default();
    plan.restart(5);
    let step = |plan: &mut OrderPlan, now_ms, record: &UpstreamRecord, incarnation| {
        plan.step(now_ms, &wanted, &[(record, incarnation)], 0)
    };
    let ids = |orders: &[Order]| orders.iter().map(|it| it.order_id.clone()).collect::<Vec<_>>();
    let first = step(&mut plan, 0, &record, 1);
    assert_eq!(ids(&first).len(), 1);
    assert_eq!(ids(&step(&mut plan, 500, &record, 1)), ids(&first));
    plan.note_accepted(&first[0].target);
    assert!(step(&mut plan, 1_000, &record, 1).is_empty());
    // The upstream loads it, and later has lost it without a restart.
    let loaded = upstream(0, &[("a", "2")]);
    assert!(step(&mut plan, 2_000, &loaded, 1).is_empty());
    let again = step(&mut plan, 3_000, &record, 1);
    assert!(again.len() == 1 && ids(&again) != ids(&first));
    // A restarted upstream has forgotten the order.
    let restarted = step(&mut plan, 4_000, &record, 2);
    assert!(restarted.len() == 1 && ids(&restarted) != ids(&again));
    // Another version is dropped once the wanted one is there.
    let both = upstream(0, &[("a", "1"), ("a", "2")]);
    let unload = step(&mut plan, 5_000, &both, 2);
    assert_eq!(unload.len(), 1);
    assert_eq!(unload[0].target.kind, OrderKind::UnloadModel);
    assert_eq!(unload[0].target.version, "1");
}

/// Guards against a controller that never sends, or whose orders an engine does not understand.
#[test]
fn a_wanted_model_is_loaded() {
    task::block_on(async {
        let options = ClusterOptions::new(2, 2).with_engines(|engine| {
            engine.checks_fencing = true;
            engine.weight_bytes = 1 << 20;
        });
        let cluster = Cluster::open(options).await;
        let model = |name: &str, adapters: &[&str], wanted_upstreams| Model {
            name: name.to_owned(),
            version: "1".to_owned(),
            adapters: adapters.iter().map(|adapter| (*adapter).to_owned()).collect(),
            wanted_upstreams,
            weight_bytes: 1 << 20,
            ..Model::default()
        };
        let service = Service {
            name: SERVICE.to_owned(),
            models: vec![model(MODEL, &[], 0), model("crest-llm", &["parish"], 2)],
            ..Service::default()
        };
        let change = ChangeConfiguration {
            base_version: cluster.shared(0).configuration.load().version(),
            edits: vec![Edit { edit: Some(edit::Edit::PutService(service)) }],
        };
        let command = Command {
            command_id: "orders-test".to_owned(),
            proposed_at_unix_ms: 0,
            command: Some(command::Command::ChangeConfiguration(change)),
        };
        let outcome = cluster.shared(0).state.submit(command).await;
        outcome.expect("the configuration is changed");
        wait_until("both engines have the model", Duration::from_secs(20), || {
            let fleet = cluster.shared(0).dispatcher.fleet().load();
            let count = fleet
                .upstreams()
                .filter(|upstream| {
                    upstream
                        .record
                        .models
                        .iter()
                        .any(|model| model.name == "crest-llm" && model.adapters == ["parish"])
                })
                .count();
            count == 2
        })
        .await;
        let stats: Vec<_> = cluster.engines.iter().map(standin::Engine::stats).collect();
        assert!(stats.iter().all(|stats| (stats.orders_taken, stats.orders_refused) == (2, 0)));
        cluster.close().await;
    });
}

fn upstream(index: usize, models: &[(&str, &str)]) -> UpstreamRecord {
    let model = |(name, version): &(&str, &str)| UpstreamModel {
        name: (*name).to_owned(),
        version: (*version).to_owned(),
        ..UpstreamModel::default()
    };
    UpstreamRecord {
        upstream_id: format!("upstream-{index:02}"),
        models: models.iter().map(model).collect(),
        ..UpstreamRecord::default()
    }
}

fn take_due<T>(list: &mut Vec<T>, is_due: impl Fn(&T) -> bool) -> Vec<T> {
    let (due, rest) = list.drain(..).partition(|item| is_due(item));
    *list = rest;
    due
}
