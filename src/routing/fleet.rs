use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::membership::UpstreamRecord;
use crate::routing::{RequestView, SlotWatcher, Upstream};

/// The upstreams of one service.
#[derive(Debug, Default)]
struct ServiceUpstreams {
    all: Vec<Arc<Upstream>>,
    models: HashMap<String, Vec<Arc<Upstream>>>,
}

/// The upstreams that may get work, by service and by model. Never changed once published.
#[derive(Debug, Default)]
pub struct FleetSnapshot {
    services: HashMap<String, ServiceUpstreams>,
    models: BTreeMap<String, Vec<Arc<Upstream>>>,
    upstreams: HashMap<String, Arc<Upstream>>,
}

impl FleetSnapshot {
    /// Upstreams that can serve a request.
    pub fn candidates(&self, request: &RequestView<'_>) -> &[Arc<Upstream>] {
        let list = match (request.service, request.model) {
            ("", model) => self.models.get(model),
            (service, "") => self.services.get(service).map(|service| &service.all),
            (service, model) => {
                self.services.get(service).and_then(|service| service.models.get(model))
            }
        };
        list.map_or(&[], Vec::as_slice)
    }

    /// Names of all models that an upstream serves.
    pub fn models(&self) -> impl Iterator<Item = &str> {
        self.models.keys().map(String::as_str)
    }

    /// Names of all services with their upstreams.
    pub fn services(&self) -> impl Iterator<Item = (&str, &[Arc<Upstream>])> {
        self.services.iter().map(|(name, list)| (name.as_str(), list.all.as_slice()))
    }

    /// Upstreams of one service.
    pub fn service_upstreams(&self, service: &str) -> &[Arc<Upstream>] {
        self.services.get(service).map_or(&[], |service| &service.all)
    }

    /// All upstreams, in no order.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values()
    }

    /// Service of the upstreams that serve a model.
    pub fn service_of(&self, model: &str) -> Option<&str> {
        let upstreams = self.models.get(model)?;
        upstreams.first().map(|upstream| upstream.record.service.as_str())
    }

    /// One upstream by its id.
    pub fn upstream(&self, upstream_id: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.get(upstream_id)
    }

    /// True when some upstream serves the model.
    pub fn has_model(&self, model: &str) -> bool {
        self.models.contains_key(model)
    }

    /// True when some upstream belongs to the service.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    fn insert(&mut self, upstream: Arc<Upstream>) {
        let record = &upstream.record;
        let service = self.services.entry(record.service.clone()).or_default();
        service.all.push(upstream.clone());
        for model in &record.models {
            let adapters = model.adapters.iter();
            let adapters = adapters.map(|adapter| format!("{}:{adapter}", model.name));
            for name in adapters.chain([model.name.clone()]) {
                service.models.entry(name.clone()).or_default().push(upstream.clone());
                self.models.entry(name).or_default().push(upstream.clone());
            }
        }
        self.upstreams.insert(record.upstream_id.clone(), upstream);
    }

    /// Orders each list by region and number, so that the upstreams of a region and the holder of
    /// a prefix are found by bisection.
    fn sort(&mut self) {
        let services = self.services.values_mut();
        let services =
            services.flat_map(|service| service.models.values_mut().chain([&mut service.all]));
        for list in services.chain(self.models.values_mut()) {
            list.sort_unstable_by_key(|upstream| {
                (upstream.place.region, upstream.prefixes.number())
            });
        }
    }
}

/// The published snapshot of the fleet.
#[derive(Debug)]
pub struct Fleet {
    snapshot: ArcSwap<FleetSnapshot>,
    watcher: Arc<dyn SlotWatcher>,
}

impl Fleet {
    /// A fleet without upstreams. `watcher` learns of the slots that become free.
    pub fn open(watcher: Arc<dyn SlotWatcher>) -> Self {
        Self { snapshot: ArcSwap::default(), watcher }
    }

    /// The newest snapshot.
    pub fn load(&self) -> arc_swap::Guard<Arc<FleetSnapshot>> {
        self.snapshot.load()
    }

    /// The newest snapshot, to be kept across waits.
    pub fn load_full(&self) -> Arc<FleetSnapshot> {
        self.snapshot.load_full()
    }

    /// Notes the load that an upstream reported, which lags behind what was sent to it.
    pub fn report_load(&self, upstream_id: &str, running: u32, waiting: u32) {
        if let Some(upstream) = self.snapshot.load().upstreams.get(upstream_id) {
            upstream.report_load(running, waiting);
        }
    }

    /// Publishes a new snapshot. Upstreams of the same incarnation keep their counters.
    pub fn replace<'a>(&self, records: impl Iterator<Item = (&'a Arc<UpstreamRecord>, u64)>) {
        let old = self.snapshot.load();
        let mut new = FleetSnapshot::default();
        for (record, incarnation) in records {
            let known = old.upstreams.get(&record.upstream_id);
            let known = known.filter(|known| known.incarnation == incarnation);
            let upstream = match known {
                Some(known) if known.record == *record => known.clone(),
                Some(known) => Arc::new(known.with_record(record.clone())),
                None => {
                    let watcher = self.watcher.clone();
                    Arc::new(Upstream::new(record.clone(), incarnation, watcher))
                }
            };
            new.insert(upstream);
        }
        new.sort();
        let new = Arc::new(new);
        self.snapshot.store(new.clone());
        // Requests may wait for the slots of an upstream that is new.
        new.upstreams().for_each(|upstream| self.watcher.slot_freed(upstream));
    }
}
