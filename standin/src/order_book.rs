use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::schema::{EngineOptions, Model, Order};

/// Models of one incarnation and the orders that changed them.
pub(crate) struct OrderBook {
    taken: HashMap<String, Order>,
    models: Vec<LoadedModel>,
    role: String,
    /// Loads run one after another, because they share the rate of the weight store.
    loads_done_at: Instant,
    model_load_time: Duration,
}

struct LoadedModel {
    name: String,
    version: String,
    ready_at: Instant,
    adapters: Vec<(String, Instant)>,
}

/// Answer to an order.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// Accepted now; in force after the given time.
    Accepted(Duration),
    /// The same order was accepted before.
    Repeated,
    /// Another order was accepted under the same id.
    IdTaken,
    /// The kind is not known, or its model is not loaded.
    Invalid(&'static str),
}

impl OrderBook {
    pub(crate) fn new(options: &EngineOptions, now: Instant) -> Self {
        let load_s = options.weight_bytes as f64 / options.weight_bytes_per_s.max(1) as f64;
        let models = options.models.iter().map(|model| LoadedModel {
            name: model.name.clone(),
            version: model.version.clone(),
            ready_at: now,
            adapters: model.adapters.iter().map(|name| (name.clone(), now)).collect(),
        });
        Self {
            taken: HashMap::new(),
            models: models.collect(),
            role: options.role.clone(),
            loads_done_at: now,
            model_load_time: Duration::from_secs_f64(load_s),
        }
    }

    pub(crate) fn has_taken(&self, order_id: &str) -> bool {
        self.taken.contains_key(order_id)
    }

    pub(crate) fn take(&mut self, order: &Order, now: Instant) -> OrderOutcome {
        if let Some(taken) = self.taken.get(&order.order_id) {
            let repeated = Order { fence: taken.fence, ..order.clone() } == *taken;
            return if repeated { OrderOutcome::Repeated } else { OrderOutcome::IdTaken };
        }
        let outcome = self.apply(order, now);
        if matches!(outcome, OrderOutcome::Accepted(_)) {
            self.taken.insert(order.order_id.clone(), order.clone());
        }
        outcome
    }

    /// Models and adapters that answer requests now.
    pub(crate) fn ready_models(&self, now: Instant) -> Vec<Model> {
        let ready = self.models.iter().filter(|model| model.ready_at <= now);
        let model = |model: &LoadedModel| Model {
            name: model.name.clone(),
            version: model.version.clone(),
            adapters: model.ready_adapters(now).map(str::to_owned).collect(),
        };
        ready.map(model).collect()
    }

    /// Finds a ready model; an empty name takes the first, an empty adapter none.
    pub(crate) fn find(&self, name: &str, adapter: &str, now: Instant) -> Option<&str> {
        let mut ready = self.models.iter().filter(|model| model.ready_at <= now);
        let model = ready.find(|model| name.is_empty() || model.name == name)?;
        let fits = adapter.is_empty() || model.ready_adapters(now).any(|name| name == adapter);
        fits.then_some(&model.name)
    }

    pub(crate) fn role(&self) -> &str {
        &self.role
    }

    pub(crate) fn to_json(&self, now: Instant) -> Value {
        let models = self.models.iter().map(|model| {
            let status = if model.ready_at <= now { "ready" } else { "loading" };
            let adapters: Vec<_> = model.ready_adapters(now).collect();
            json!({"id": model.name, "object": "model", "version": model.version,
                "status": status, "adapters": adapters})
        });
        json!({"object": "list", "role": self.role, "data": models.collect::<Vec<_>>()})
    }

    fn apply(&mut self, order: &Order, now: Instant) -> OrderOutcome {
        let same = |model: &LoadedModel| {
            model.name == order.model
                && (order.version.is_empty() || model.version == order.version)
        };
        match order.kind.as_str() {
            "load_model" => {
                if self.models.iter().any(same) {
                    return OrderOutcome::Accepted(Duration::ZERO);
                }
                let ready_at = self.schedule_load(self.model_load_time, now);
                self.models.push(LoadedModel {
                    name: order.model.clone(),
                    version: order.version.clone(),
                    ready_at,
                    adapters: vec![],
                });
                OrderOutcome::Accepted(ready_at - now)
            }
            "unload_model" => {
                self.models.retain(|model| !same(model));
                OrderOutcome::Accepted(Duration::ZERO)
            }
            "load_adapter" => {
                let Some(index) = self.models.iter().position(same) else {
                    return OrderOutcome::Invalid("the model is not loaded");
                };
                if self.models[index].adapters.iter().any(|(name, _)| *name == order.adapter) {
                    return OrderOutcome::Accepted(Duration::ZERO);
                }
                let ready_at = self.schedule_load(self.model_load_time / 100, now);
                self.models[index].adapters.push((order.adapter.clone(), ready_at));
                OrderOutcome::Accepted(ready_at - now)
            }
            "unload_adapter" => {
                for model in self.models.iter_mut().filter(|model| same(model)) {
                    model.adapters.retain(|(name, _)| *name != order.adapter);
                }
                OrderOutcome::Accepted(Duration::ZERO)
            }
            "set_role" => {
                self.role = order.role.clone();
                OrderOutcome::Accepted(Duration::ZERO)
            }
            _ => OrderOutcome::Invalid("the kind of the order is not known"),
        }
    }

    fn schedule_load(&mut self, load_time: Duration, now: Instant) -> Instant {
        self.loads_done_at = self.loads_done_at.max(now) + load_time;
        self.loads_done_at
    }
}

impl LoadedModel {
    fn ready_adapters(&self, now: Instant) -> impl Iterator<Item = &str> {
        let ready = self.adapters.iter().filter(move |(_, ready_at)| *ready_at <= now);
        ready.map(|(name, _)| name.as_str())
    }
}
