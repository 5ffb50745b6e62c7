//! Tests orders to upstreams: leases under message races, the planning of loads, and a cluster with
//! stand-in engines.

mod support;

use std::time::Duration;

use async_std::task;
use damaskhoist::membership::{UpstreamModel, UpstreamRecord};
use damaskhoist::orders::{Order, OrderKind, OrderLease, OrderPlan, WantedModel};
use damaskhoist::schema::config::{edit, Edit, Model, Service};
use damaskhoist::schema::state::{command, ChangeConfiguration, Command};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{wait_until, Cluster, ClusterOptions, MODEL, SERVICE};

const LEASE_MS: u64 = 1_000;
const FLIGHT_MS: u64 = 200;

/// Model of a fence in the replicated state, whose clock may jump forward with a new Raft leader.
#[derive(Default)]
struct FenceModel {
    last: u64,
    holder: usize,
    ends_ms: u64,
}

impl FenceModel {
    fn acquire(&mut self, holder: usize, now_ms: u64) -> Option<u64> {
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

/// Guards against an order of an old controller that takes effect after the first order of a new
/// one, at upstreams that ignore fencing numbers and at upstreams that check them.
#[rstest]
fn no_order_of_an_old_controller_follows_a_new_one(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(false, true)] checks: bool,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fence = FenceModel::default();
    let mut leases = [OrderLease::new(LEASE_MS, FLIGHT_MS), OrderLease::new(LEASE_MS, FLIGHT_MS)];
    let mut paused_until = [0; 2];
    // The clocks of the controllers and of the replicated state all differ.
    let clock_offsets = [random.random_range(0..10_000), random.random_range(0..10_000)];
    let mut requests: Vec<(u64, usize, u64)> = Vec::new();
    let mut replies: Vec<(u64, usize, u64, Option<u64>)> = Vec::new();
    let mut orders: Vec<(u64, u64)> = Vec::new();
    let (mut clock_jump, mut newest, mut takeovers, mut executed) = (0, 0, 0, 0);
    for now in 0..60_000_u64 {
        // The clock of a new leader may be ahead, which ends a lease early by up to its length.
        if random.random_bool(0.0002) {
            clock_jump += random.random_range(0..LEASE_MS);
        }
        for (_, holder, requested_ms) in drain_due(&mut requests, |entry| entry.0 <= now) {
            let number = fence.acquire(holder, now + clock_jump);
            replies.push((now + random.random_range(1..150), holder, requested_ms, number));
        }
        for (_, holder, requested_ms, number) in drain_due(&mut replies, |entry| entry.0 <= now) {
            match number {
                Some(number) => {
                    leases[holder].record_grant(number, requested_ms, now + clock_offsets[holder]);
                }
                None => leases[holder].record_loss(),
            }
        }
        for (holder, lease) in leases.iter().enumerate() {
            if random.random_bool(0.0003) {
                paused_until[holder] = now + random.random_range(0..3 * LEASE_MS);
            }
            if now < paused_until[holder] {
                continue;
            }
            let local_ms = now + clock_offsets[holder];
            let has_request = requests.iter().any(|entry| entry.1 == holder);
            if lease.needs_renewal(local_ms) && !has_request && random.random_bool(0.02) {
                requests.push((now + random.random_range(1..150), holder, local_ms));
            }
            if random.random_bool(0.05) {
                if let Some(number) = lease.fence(local_ms, checks) {
                    orders.push((now + random.random_range(0..=FLIGHT_MS), number));
                }
            }
        }
        for (_, number) in drain_due(&mut orders, |entry| entry.0 <= now) {
            if checks && number < newest {
                continue;
            }
            assert!(number >= newest, "at {now} ms an order under {number} followed {newest}");
            takeovers += u32::from(number > newest);
            executed += 1;
            newest = number;
        }
    }
    assert!(takeovers >= 3 && executed > 100, "{takeovers} takeovers, {executed} orders");
}

/// Guards against a delayed reply that makes a controller send orders under the fencing number of
/// an earlier lease.
#[test]
fn a_late_reply_does_not_restore_an_old_fencing_number() {
    let mut lease = OrderLease::new(LEASE_MS, FLIGHT_MS);
    lease.record_grant(7, 5_000, 5_010);
    lease.record_grant(6, 4_000, 5_020);
    assert_eq!(lease.fence(5_030, true), Some(7));
    assert_eq!(lease.fence(5_030, false), None);
    assert_eq!(lease.fence(5_000 + LEASE_MS - FLIGHT_MS, true), None);
    lease.record_loss();
    assert_eq!(lease.fence(5_030, true), None);
}

/// Guards against loads that exceed the rate of the weight store, bursts of loads after a zone
/// recovers, and loads of other models before one that blocks online requests.
#[test]
fn loads_respect_the_store_rate_and_put_blocked_models_first() {
    let records: Vec<_> = (0..30).map(|index| upstream(index, &[])).collect();
    let upstreams: Vec<_> = records.iter().map(|record| (record, 1)).collect();
    let wanted = |model: &str, blocks_online| WantedModel {
        model: model.to_owned(),
        version: "1".to_owned(),
        upstreams: 10,
        weight_bytes: 1_000,
        blocks_online,
        ..WantedModel::default()
    };
    let wanted = [wanted("a", false), wanted("z", true)];
    let mut plan = OrderPlan::default();
    let mut sent = Vec::new();
    // The weight store needs 2 s for one load.
    for second in 0..20 {
        for order in plan.next_orders(second * 1_000, &wanted, &upstreams, 500) {
            plan.record_accepted(&order.target);
            sent.push((second, order));
        }
    }
    assert_eq!(sent.iter().map(|(second, _)| *second).collect::<Vec<_>>(), [0, 2, 4, 6]);
    assert!(sent.iter().all(|(_, order)| order.target.model == "z"), "{sent:?}");
    let mut unbounded = OrderPlan::default();
    assert_eq!(unbounded.next_orders(0, &wanted, &upstreams, 0).len(), 4);
}

/// Guards against an order that is sent again under a new id, which an upstream would execute
/// twice, and against a new order under a used id, which it would ignore.
#[test]
fn order_ids_change_only_with_the_order() {
    let record = upstream(0, &[]);
    let wanted = [WantedModel {
        model: "a".to_owned(),
        version: "2".to_owned(),
        upstreams: 1,
        ..WantedModel::default()
    }];
    let mut plan = OrderPlan::default();
    plan.restart(5);
    let step = |plan: &mut OrderPlan, now_ms, record: &UpstreamRecord, incarnation| {
        plan.next_orders(now_ms, &wanted, &[(record, incarnation)], 0)
    };
    let ids =
        |orders: &[Order]| orders.iter().map(|entry| entry.order_id.clone()).collect::<Vec<_>>();
    let first = step(&mut plan, 0, &record, 1);
    assert_eq!(ids(&first).len(), 1);
    assert_eq!(ids(&step(&mut plan, 500, &record, 1)), ids(&first));
    plan.record_accepted(&first[0].target);
    assert!(step(&mut plan, 1_000, &record, 1).is_empty());
    // The upstream loads the model, and later loses it without a restart.
    let loaded = upstream(0, &[("a", "2")]);
    assert!(step(&mut plan, 2_000, &loaded, 1).is_empty());
    let again = step(&mut plan, 3_000, &record, 1);
    assert!(again.len() == 1 && ids(&again) != ids(&first));
    // A restarted upstream does not know the order.
    let restarted = step(&mut plan, 4_000, &record, 2);
    assert!(restarted.len() == 1 && ids(&restarted) != ids(&again));
    // Another version is unloaded once the wanted one is present.
    let both = upstream(0, &[("a", "1"), ("a", "2")]);
    let unload = step(&mut plan, 5_000, &both, 2);
    assert_eq!(unload.len(), 1);
    assert_eq!(unload[0].target.kind, OrderKind::UnloadModel);
    assert_eq!(unload[0].target.version, "1");
}

/// Guards against a controller that never sends its orders, and against orders that an engine can't
/// parse.
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

fn drain_due<T>(list: &mut Vec<T>, is_due: impl Fn(&T) -> bool) -> Vec<T> {
    let (due, rest) = list.drain(..).partition(|item| is_due(item));
    *list = rest;
    due
}
