use std::collections::BTreeMap;

use crate::membership::{UpstreamModel, UpstreamRecord};

/// Limit of concurrent loads, so that the loads of a recovering zone leave bandwidth of the weight
/// store to models that block online requests.
const MAX_CONCURRENT_LOADS: usize = 4;
/// Time for which a model's missing upstreams may rejoin before other upstreams load it.
const REJOIN_WAIT_MS: u64 = 10_000;
/// Time after which an order that has not taken effect is abandoned and sent under a new id.
const ORDER_TIMEOUT_MS: u64 = 600_000;
/// Pause after an upstream refused an order, before it gets another.
const FAILURE_PAUSE_MS: u64 = 5_000;
/// The weights of an adapter are estimated as those of its model divided by this.
const ADAPTER_DIVISOR: u64 = 100;

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderKind {
    /// Load a version of a model.
    LoadModel,
    /// Load an adapter of a loaded model.
    LoadAdapter,
    /// Unload a replaced version of a model.
    UnloadModel,
}

impl OrderKind {
    /// Name of the kind in requests to upstreams.
    pub fn name(self) -> &'static str {
        match self {
            Self::LoadModel => "load_model",
            Self::LoadAdapter => "load_adapter",
            Self::UnloadModel => "unload_model",
        }
    }
}

/// Upstream and object of an order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderTarget {
    /// Upstream that gets the order.
    pub upstream_id: String,
    /// Incarnation of the upstream. A restarted upstream does not know the order.
    pub incarnation: u64,
    /// Kind of the order.
    pub kind: OrderKind,
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Name of the adapter; empty unless the order loads one.
    pub adapter: String,
}

/// An order that is ready to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Id of the order, which stays the same when the order is sent again.
    pub order_id: String,
    /// Upstream and object of the order.
    pub target: OrderTarget,
}

/// A model that the configuration assigns to a number of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WantedModel {
    /// Name of the model.
    pub model: String,
    /// Wanted version; upstreams with another version do not count.
    pub version: String,
    /// Adapters wanted on each upstream with the model.
    pub adapters: Vec<String>,
    /// Number of upstreams that should have the model.
    pub upstreams: u32,
    /// Size of the model's weights in bytes.
    pub weight_bytes: u64,
    /// Online requests for the model are refused because no upstream has it.
    pub blocks_online: bool,
}

/// Decides which orders the upstreams of one service get. Callers pass the time and send the
/// orders.
#[derive(Debug, Default)]
pub struct OrderPlan {
    /// Fencing number under which the orders are sent.
    fence: u64,
    in_flight: BTreeMap<OrderTarget, InFlight>,
    /// Number of ended orders by target, which is part of the next order's id: an upstream that
    /// receives a known id again replies without executing the order.
    rounds: BTreeMap<OrderTarget, u64>,
    /// Upstreams that refused an order, with the time before which they get none.
    paused_until_ms: BTreeMap<String, u64>,
    /// Time since which upstreams for a model and version have been missing.
    missing_since_ms: BTreeMap<(String, String), u64>,
    /// Time at which the weight store is expected to have delivered the last ordered weights.
    store_busy_until_ms: u64,
}

#[derive(Debug)]
struct InFlight {
    since_ms: u64,
    accepted: bool,
}

impl OrderPlan {
    /// Resets the plan when the fencing number changes. The number is part of the order ids, so ids
    /// of an earlier controller are not reused. Loads that it started are either announced or
    /// answered as already done when ordered again.
    pub fn restart(&mut self, fence: u64) {
        if self.fence != fence {
            *self = Self { fence, ..Self::default() };
        }
    }

    /// Plans new orders and returns all that no upstream has accepted yet. `upstreams` are paired
    /// with their incarnations. `store_bytes_per_s` limits the rate of loads; 0 means no limit.
    pub fn next_orders(
        &mut self,
        now_ms: u64,
        wanted: &[WantedModel],
        upstreams: &[(&UpstreamRecord, u64)],
        store_bytes_per_s: u64,
    ) -> Vec<Order> {
        self.prune(now_ms, upstreams);
        let mut sorted: Vec<_> = wanted.iter().filter(|wanted| wanted.upstreams > 0).collect();
        let holder_count = |wanted: &WantedModel| {
            upstreams.iter().filter(|(record, _)| has_model(record, wanted)).count()
        };
        sorted.sort_by_key(|wanted| (!wanted.blocks_online, holder_count(wanted), &wanted.model));
        for wanted in sorted {
            let present = holder_count(wanted);
            self.plan_models(now_ms, wanted, present, upstreams, store_bytes_per_s);
            self.plan_adapters(now_ms, wanted, upstreams, store_bytes_per_s);
            if present >= wanted.upstreams as usize {
                self.plan_unloads(now_ms, wanted, upstreams);
            }
        }
        let unaccepted = self.in_flight.iter().filter(|(_, order)| !order.accepted);
        unaccepted.map(|(target, _)| self.make_order(target)).collect()
    }

    /// Records that the upstream accepted an order.
    pub fn record_accepted(&mut self, target: &OrderTarget) {
        if let Some(order) = self.in_flight.get_mut(target) {
            order.accepted = true;
        }
    }

    /// Records that the upstream refused an order. A later order for the same target gets a new id.
    pub fn record_refused(&mut self, target: &OrderTarget, now_ms: u64) {
        self.finish(target);
        self.paused_until_ms.insert(target.upstream_id.clone(), now_ms + FAILURE_PAUSE_MS);
    }

    /// Removes orders that have taken effect, timed out, or were sent to an earlier incarnation of
    /// their upstream.
    fn prune(&mut self, now_ms: u64, upstreams: &[(&UpstreamRecord, u64)]) {
        let is_current = |target: &OrderTarget| {
            let found =
                upstreams.iter().find(|(record, _)| record.upstream_id == target.upstream_id);
            found.filter(|(_, incarnation)| *incarnation == target.incarnation).copied()
        };
        self.in_flight.retain(|target, _| is_current(target).is_some());
        let ended = self.in_flight.iter().filter(|(target, order)| {
            now_ms >= order.since_ms + ORDER_TIMEOUT_MS
                || is_current(target).is_some_and(|(record, _)| has_taken_effect(record, target))
        });
        let ended: Vec<_> = ended.map(|(target, _)| target.clone()).collect();
        ended.iter().for_each(|target| self.finish(target));
        self.rounds.retain(|target, _| is_current(target).is_some());
        self.paused_until_ms.retain(|_, until_ms| *until_ms > now_ms);
    }

    fn plan_models(
        &mut self,
        now_ms: u64,
        wanted: &WantedModel,
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
        // While some upstreams have the model, the missing ones get time to rejoin. A model that no
        // upstream has, or that blocks online requests, is loaded at once.
        if present > 0 && !wanted.blocks_online && now_ms < since_ms + REJOIN_WAIT_MS {
            return;
        }
        let mut candidates: Vec<_> =
            upstreams.iter().filter(|(record, _)| !has_model(record, wanted)).collect();
        candidates.sort_by_key(|(record, _)| (record.models.len(), &record.upstream_id));
        for (record, incarnation) in candidates.into_iter().take(missing) {
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
        wanted: &WantedModel,
        upstreams: &[(&UpstreamRecord, u64)],
        store_bytes_per_s: u64,
    ) {
        for (record, incarnation) in
            upstreams.iter().filter(|(record, _)| has_model(record, wanted))
        {
            let model = record.models.iter().find(|model| is_wanted(model, wanted));
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
                let bytes = wanted.weight_bytes / ADAPTER_DIVISOR;
                self.start_load(now_ms, target, bytes, store_bytes_per_s);
            }
        }
    }

    /// Plans to unload other versions of a model. Called once enough upstreams have the wanted one.
    fn plan_unloads(
        &mut self,
        now_ms: u64,
        wanted: &WantedModel,
        upstreams: &[(&UpstreamRecord, u64)],
    ) {
        for (record, incarnation) in upstreams {
            let replaced = record.models.iter().filter(|model| model.name == wanted.model);
            for model in replaced.filter(|model| model.version != wanted.version) {
                let target = OrderTarget {
                    upstream_id: record.upstream_id.clone(),
                    incarnation: *incarnation,
                    kind: OrderKind::UnloadModel,
                    model: model.name.clone(),
                    version: model.version.clone(),
                    adapter: String::new(),
                };
                if self.can_order(&target.upstream_id) {
                    self.in_flight.insert(target, InFlight { since_ms: now_ms, accepted: false });
                }
            }
        }
    }

    /// Plans a load if the weight store and the upstream can take another one.
    fn start_load(&mut self, now_ms: u64, target: OrderTarget, bytes: u64, bytes_per_s: u64) {
        let loads = self.in_flight.keys().filter(|target| target.kind != OrderKind::UnloadModel);
        let store_is_busy = bytes_per_s > 0 && now_ms < self.store_busy_until_ms;
        if store_is_busy
            || loads.count() >= MAX_CONCURRENT_LOADS
            || !self.can_order(&target.upstream_id)
        {
            return;
        }
        let load_ms = bytes.saturating_mul(1_000).checked_div(bytes_per_s).unwrap_or(0);
        self.store_busy_until_ms = now_ms + load_ms;
        self.in_flight.insert(target, InFlight { since_ms: now_ms, accepted: false });
    }

    /// True when the upstream is not paused and has no order in flight.
    fn can_order(&self, upstream_id: &str) -> bool {
        !self.paused_until_ms.contains_key(upstream_id)
            && !self.in_flight.keys().any(|target| target.upstream_id == upstream_id)
    }

    fn finish(&mut self, target: &OrderTarget) {
        self.in_flight.remove(target);
        *self.rounds.entry(target.clone()).or_default() += 1;
    }

    fn make_order(&self, target: &OrderTarget) -> Order {
        let round = self.rounds.get(target).copied().unwrap_or(0);
        let (fence, kind, incarnation) = (self.fence, target.kind.name(), target.incarnation);
        let OrderTarget { upstream_id, model, version, adapter, .. } = target;
        let order_id = format!(
            "{fence}/{upstream_id}/{incarnation}/{kind}/{model}/{version}/{adapter}/{round}"
        );
        Order { order_id, target: target.clone() }
    }
}

fn is_wanted(model: &UpstreamModel, wanted: &WantedModel) -> bool {
    model.name == wanted.model && model.version == wanted.version
}

fn has_model(record: &UpstreamRecord, wanted: &WantedModel) -> bool {
    record.models.iter().any(|model| is_wanted(model, wanted))
}

/// True when the upstream announces the state that the order asked for.
fn has_taken_effect(record: &UpstreamRecord, target: &OrderTarget) -> bool {
    let mut models = record.models.iter();
    let model = models.find(|model| model.name == target.model && model.version == target.version);
    match target.kind {
        OrderKind::LoadModel => model.is_some(),
        OrderKind::UnloadModel => model.is_none(),
        OrderKind::LoadAdapter => {
            model.is_some_and(|model| model.adapters.contains(&target.adapter))
        }
    }
}
