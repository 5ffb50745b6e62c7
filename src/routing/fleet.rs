use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::membership::UpstreamRecord;
use crate::routing::{RequestView, SlotWatcher, Upstream};

/// The upstreams of one service, in total and by model.
#[derive(Debug, Default)]
struct ServiceUpstreams {
    all: Vec<Arc<Upstream>>,
    models: HashMap<String, Vec<Arc<Upstream>>>,
}

/// Immutable snapshot of the upstreams that can serve requests, indexed by service and model.
#[derive(Debug, Default)]
pub struct FleetSnapshot {
    services: HashMap<String, ServiceUpstreams>,
    models: BTreeMap<String, Vec<Arc<Upstream>>>,
    upstreams: HashMap<String, Arc<Upstream>>,
}

impl FleetSnapshot {
    /// Returns the upstreams with the service and model of a request, ordered by region and number.
    pub fn candidates(&self, request: &RequestView<'_>) -> &[Arc<Upstream>] {
        let upstreams = match (request.service, request.model) {
            ("", model) => self.models.get(model),
            (service, "") => self.services.get(service).map(|service| &service.all),
            (service, model) => {
                self.services.get(service).and_then(|service| service.models.get(model))
            }
        };
        upstreams.map_or(&[], Vec::as_slice)
    }

    /// Names of all models that some upstream serves, with adapters as `model:adapter`.
    pub fn models(&self) -> impl Iterator<Item = &str> {
        self.models.keys().map(String::as_str)
    }

    /// All services, by name, with their upstreams.
    pub fn services(&self) -> impl Iterator<Item = (&str, &[Arc<Upstream>])> {
        self.services.iter().map(|(name, upstreams)| (name.as_str(), upstreams.all.as_slice()))
    }

    /// Upstreams of one service.
    pub fn service_upstreams(&self, service: &str) -> &[Arc<Upstream>] {
        self.services.get(service).map_or(&[], |service| &service.all)
    }

    /// All upstreams, in no particular order.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values()
    }

    /// Service of the first upstream that serves a model.
    pub fn service_of(&self, model: &str) -> Option<&str> {
        let upstreams = self.models.get(model)?;
        upstreams.first().map(|upstream| upstream.record.service.as_str())
    }

    /// Returns the upstream with an id.
    pub fn upstream(&self, upstream_id: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.get(upstream_id)
    }

    /// Returns true if some upstream serves the model.
    pub fn has_model(&self, model: &str) -> bool {
        self.models.contains_key(model)
    }

    /// Returns true if some upstream belongs to the service.
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

    /// Sorts each list by region and upstream number, so that the upstreams of a region and the
    /// holder of a prefix are found by binary search.
    fn sort(&mut self) {
        let services = self.services.values_mut();
        let services =
            services.flat_map(|service| service.models.values_mut().chain([&mut service.all]));
        for upstreams in services.chain(self.models.values_mut()) {
            upstreams.sort_unstable_by_key(|upstream| {
                (upstream.location.region, upstream.prefixes.number())
            });
        }
    }
}

/// The upstreams known to this host, published as immutable snapshots.
#[derive(Debug)]
pub struct Fleet {
    snapshot: ArcSwap<FleetSnapshot>,
    watcher: Arc<dyn SlotWatcher>,
}

impl Fleet {
    /// Creates a fleet without upstreams. `watcher` is notified of slots that become free.
    pub fn open(watcher: Arc<dyn SlotWatcher>) -> Self {
        Self { snapshot: ArcSwap::default(), watcher }
    }

    /// Returns the latest snapshot, for short use.
    pub fn load(&self) -> arc_swap::Guard<Arc<FleetSnapshot>> {
        self.snapshot.load()
    }

    /// Returns the latest snapshot as an `Arc` that may be held across await points.
    pub fn load_full(&self) -> Arc<FleetSnapshot> {
        self.snapshot.load_full()
    }

    /// Records the load that an upstream reported, which lags behind the requests sent to it.
    pub fn record_load(&self, upstream_id: &str, running: u32, waiting: u32) {
        if let Some(upstream) = self.snapshot.load().upstreams.get(upstream_id) {
            upstream.record_load(running, waiting);
        }
    }

    /// Publishes a new snapshot. Upstreams of an unchanged incarnation keep their counters.
    pub fn replace<'a>(&self, records: impl Iterator<Item = (&'a Arc<UpstreamRecord>, u64)>) {
        let old = self.snapshot.load();
        let mut new = FleetSnapshot::default();
        for (record, incarnation) in records {
            let existing = old.upstreams.get(&record.upstream_id);
            let existing = existing.filter(|existing| existing.incarnation == incarnation);
            let upstream = match existing {
                Some(existing) if existing.record == *record => existing.clone(),
                Some(existing) => Arc::new(existing.with_record(record.clone())),
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
        // Requests may be waiting for the slots of a new upstream.
        new.upstreams().for_each(|upstream| self.watcher.slot_freed(upstream));
    }
}
