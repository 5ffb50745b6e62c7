use std::collections::BTreeMap;

use crate::membership::{UpstreamModel, UpstreamRecord};

/// Models that load at the same time at most, so that a zone that comes back does not take the
/// weight store from models that are waited for.
const LOADS_AT_ONCE: usize = 4;
/// Time for which a model's missing upstreams are awaited before others load it.
const ABSENCE_MS: u64 = 10_000;
/// Time after which an order without an effect is given up and sent under a new id.
const ORDER_TIMEOUT_MS: u64 = 600_000;
/// Pause after an order failed, before the upstream gets another.
const FAILURE_PAUSE_MS: u64 = 5_000;
/// Weights of an adapter are about this part of a model's.
const ADAPTER_PART: u64 = 100;

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderKind {
    /// Load a version of a model.
    LoadModel,
    /// Load an adapter of a loaded model.
    LoadAdapter,
    /// Drop a replaced version.
    UnloadModel,
}

impl OrderKind {
    /// Name towards upstreams.
    pub fn name(self) -> &'static str {
        match self {
            Self::LoadModel => "load_model",
            Self::LoadAdapter => "load_adapter",
            Self::UnloadModel => "unload_model",
        }
    }
}

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderTarget {
    /// Upstream that gets the order.
    pub upstream_id: String,
    /// Its incarnation; another one has forgotten the order.
    pub incarnation: u64,
    /// What it asks for.
    pub kind: OrderKind,
    /// Model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapter, or empty.
    pub adapter: String,
}

/// An order that is ready to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The same for each sending of the same order.
    pub order_id: String,
    /// What it asks for.
    pub target: OrderTarget,
}

/// A model that the configuration wants on some upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    /// Name of the model.
    pub model: String,
    /// Version; an upstream with another version does not count.
    pub version: String,
    /// Adapters on each upstream with the model.
    pub adapters: Vec<String>,
    /// Upstreams that should have it.
    pub upstreams: u32,
    /// Size of its weights.
    pub weight_bytes: u64,
    /// Online requests wait for it.
    pub is_waited_for: bool,
}

/// Decides which orders the upstreams of one service get. Contains no clock and sends nothing.
#[derive(Debug, Default)]
pub struct OrderPlan {
    /// Fencing number under which the orders are sent.
    fence: u64,
    in_flight: BTreeMap<OrderTarget, InFlight>,
    /// Orders that ended, with the number of their next id: upstreams answer a known id without
    /// doing anything.
    rounds: BTreeMap<OrderTarget, u64>,
    /// Upstreams that refused an order get none before this time.
    paused_until_ms: BTreeMap<String, u64>,
    missing_since_ms: BTreeMap<(String, String), u64>,
    /// When the weight store has delivered what was ordered.
    store_free_ms: u64,
}

#[derive(Debug)]
struct InFlight {
    since_ms: u64,
    accepted: bool,
}

impl OrderPlan {
    /// Starts anew under another fencing number. Ids of another controller may have been used up;
    /// loads that it started are announced, or answered as already there when ordered again.
    pub fn restart(&mut self, fence: u64) {
        if self.fence != fence {
            *self = Self { fence, ..Self::default() };
        }
    }

    /// Orders to send now, those accepted already left out. `store_bytes_per_s` is 0 for no bound.
    pub fn step(
        &mut self,
        now_ms: u64,
        wanted: &[Wanted],
        upstreams: &[(&UpstreamRecord, u64)],
        store_bytes_per_s: u64,
    ) -> Vec<Order> {
        self.forget(now_ms, upstreams);
        let mut sorted: Vec<_> = wanted.iter().filter(|wanted| wanted.upstreams > 0).collect();
        let holders = |wanted: &Wanted| upstreams.iter().filter(|(it, _)| has(it, wanted)).count();
        sorted.sort_by_key(|wanted| (!wanted.is_waited_for, holders(wanted), &wanted.model));
        for wanted in sorted {
            let present = holders(wanted);
            self.plan_models(now_ms, wanted, present, upstreams, store_bytes_per_s);
            self.plan_adapters(now_ms, wanted, upstreams, store_bytes_per_s);
            if present >= wanted.upstreams as usize {
                self.plan_unloads(now_ms, wanted, upstreams);
            }
        }
        let unsent = self.in_flight.iter().filter(|(_, order)| !order.accepted);
        unsent.map(|(target, _)| self.order(target)).collect()
    }

    /// Notes that the upstream accepted an order.
    pub fn note_accepted(&mut self, target: &OrderTarget) {
        if let Some(order) = self.in_flight.get_mut(target) {
            order.accepted = true;
        }
    }

    /// Notes that the upstream refused an order, which gets a new id.
    pub fn note_refused(&mut self, target: &OrderTarget, now_ms: u64) {
        self.end(target);
        self.paused_until_ms.insert(target.upstream_id.clone(), now_ms + FAILURE_PAUSE_MS);
    }

    /// Drops what has its effect, what the upstream forgot, and what took too long.
    fn forget(&mut self, now_ms: u64, upstreams: &[(&UpstreamRecord, u64)]) {
        let is_current = |target: &OrderTarget| {
            let found = upstreams.iter().find(|(it, _)| it.upstream_id == target.upstream_id);
            found.filter(|(_, incarnation)| *incarnation == target.incarnation).copied()
        };
        self.in_flight.retain(|target, _| is_current(target).is_some());
        let ended = self.in_flight.iter().filter(|(target, order)| {
            now_ms >= order.since_ms + ORDER_TIMEOUT_MS
                || is_current(target).is_some_and(|(it, _)| has_effect(it, target))
        });
        let ended: Vec<_> = ended.map(|(target, _)| target.clone()).collect();
        ended.iter().for_each(|target| self.end(target));
        self.rounds.retain(|target, _| is_current(target).is_some());
        self.paused_until_ms.retain(|_, until_ms| *until_ms > now_ms);
    }

    fn plan_models(
        &mut self,
        now_ms: u64,
        wanted: &Wanted,
        present: usize,
        upstreams: &[(&UpstreamRecord, u64)],
        store_bytes_per_s: u64,
    ) {
        let key = (wanted.model.clone(), wanted.version.clone());
        let loading = self.in_flight.keys().filter(|target| {
            target.kind == OrderKind::LoadModel
                && target.model == wanted.model
                && target.version == wanted.version
        });
        let missing = (wanted.upstreams as usize).saturating_sub(present + loading.count());
        if missing == 0 {
            self.missing_since_ms.remove(&key);
            return;
        }
        let since_ms = *self.missing_since_ms.entry(key).or_insert(now_ms);
        // Upstreams that have the model are likely to come back; without any there is no time.
        if present > 0 && !wanted.is_waited_for && now_ms < since_ms + ABSENCE_MS {
            return;
        }
        let mut free: Vec<_> = upstreams.iter().filter(|(it, _)| !has(it, wanted)).collect();
        free.sort_by_key(|(it, _)| (it.models.len(), &it.upstream_id));
        for (record, incarnation) in free.into_iter().take(missing) {
            let target = OrderTarget {
                upstream_id: record.upstream_id.clone(),
                incarnation: *incarnation,
                kind: OrderKind::LoadModel,
                model: wanted.model.clone(),
                version: wanted.version.clone(),
                adapter: String::new(),
            };
            self.start_load(now_ms, target, wanted.weight_bytes, store_bytes_per_s);
        }
    }

    fn plan_adapters(
        &mut self,
        now_ms: u64,
        wanted: &Wanted,
        upstreams: &[(&UpstreamRecord, u64)],
        store_bytes_per_s: u64,
    ) {
        for (record, incarnation) in upstreams.iter().filter(|(it, _)| has(it, wanted)) {
            let model = record.models.iter().find(|model| is(model, wanted));
            let loaded = model.map_or(&[][..], |model| &model.adapters);
            for adapter in wanted.adapters.iter().filter(|adapter| !loaded.contains(adapter)) {
                let target = OrderTarget {
                    upstream_id: record.upstream_id.clone(),
                    incarnation: *incarnation,
                    kind: OrderKind::LoadAdapter,
                    model: wanted.model.clone(),
                    version: wanted.version.clone(),
                    adapter: adapter.clone(),
                };
                let bytes = wanted.weight_bytes / ADAPTER_PART;
                self.start_load(now_ms, target, bytes, store_bytes_per_s);
            }
        }
    }

    /// Drops other versions of a model once the wanted one is where it should be.
    fn plan_unloads(&mut self, now_ms: u64, wanted: &Wanted, upstreams: &[(&UpstreamRecord, u64)]) {
        for (record, incarnation) in upstreams {
            let old = record.models.iter().filter(|model| model.name == wanted.model);
            for model in old.filter(|model| model.version != wanted.version) {
                let target = OrderTarget {
                    upstream_id: record.upstream_id.clone(),
                    incarnation: *incarnation,
                    kind: OrderKind::UnloadModel,
                    model: model.name.clone(),
                    version: model.version.clone(),
                    adapter: String::new(),
                };
                if self.may_order(&target.upstream_id) {
                    self.in_flight.insert(target, InFlight { since_ms: now_ms, accepted: false });
                }
            }
        }
    }

    /// Starts a load when the weight store has room for it.
    fn start_load(&mut self, now_ms: u64, target: OrderTarget, bytes: u64, bytes_per_s: u64) {
        let loads = self.in_flight.keys().filter(|target| target.kind != OrderKind::UnloadModel);
        let store_is_busy = bytes_per_s > 0 && now_ms < self.store_free_ms;
        if store_is_busy || loads.count() >= LOADS_AT_ONCE || !self.may_order(&target.upstream_id) {
            return;
        }
        let load_ms = bytes.saturating_mul(1_000).checked_div(bytes_per_s).unwrap_or(0);
        self.store_free_ms = now_ms + load_ms;
        self.in_flight.insert(target, InFlight { since_ms: now_ms, accepted: false });
    }

    /// An upstream gets one order at a time.
    fn may_order(&self, upstream_id: &str) -> bool {
        !self.paused_until_ms.contains_key(upstream_id)
            && !self.in_flight.keys().any(|target| target.upstream_id == upstream_id)
    }

    fn end(&mut self, target: &OrderTarget) {
        self.in_flight.remove(target);
        *self.rounds.entry(target.clone()).or_default() += 1;
    }

    fn order(&self, target: &OrderTarget) -> Order {
        let round = self.rounds.get(target).copied().unwrap_or(0);
        let (fence, kind, incarnation) = (self.fence, target.kind.name(), target.incarnation);
        let OrderTarget { upstream_id, model, version, adapter, .. } = target;
        let order_id = format!(
            "{fence}/{upstream_id}/{incarnation}/{kind}/{model}/{version}/{adapter}/{round}"
        );
        Order { order_id, target: target.clone() }
    }
}

fn is(model: &UpstreamModel, wanted: &Wanted) -> bool {
    model.name == wanted.model && model.version == wanted.version
}

fn has(record: &UpstreamRecord, wanted: &Wanted) -> bool {
    record.models.iter().any(|model| is(model, wanted))
}

/// True when the upstream announces what the order asked for.
fn has_effect(record: &UpstreamRecord, target: &OrderTarget) -> bool {
    let mut models = record.models.iter();
    let model = models.find(|model| model.name == target.model && model.version == target.version);
    match target.kind {
        OrderKind::LoadModel => model.is_some(),
        OrderKind::UnloadModel => model.is_none(),
        OrderKind::LoadAdapter => model.is_some_and(|it| it.adapters.contains(&target.adapter)),
    }
}
