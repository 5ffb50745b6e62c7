use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::channel::{bounded, Receiver, Sender};
use async_std::task;
use async_trait::async_trait;
use futures::stream::{FuturesUnordered, StreamExt};

use crate::directory::{
    choose_asked, choose_keepers, only_version, request_hash, FleetWatch, KnownOrigin, OriginTable,
    StreamOrigin,
};
use crate::gateway::{StreamOrigins, StreamRequest};
use crate::peer::{PeerCaller, TrafficClass};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{
    call, reply, Call, FindStreamOrigin, Reply, StreamOrigins as WireOrigins, StreamsOfOrigin,
};
use crate::schema::routes::Route;
use crate::telemetry::Counters;

/// Streams that may wait to be recorded. Those beyond it are not, so that callers can't resume them.
const QUEUE_RECORDS: usize = 4_096;
/// Time for which records are collected before they are sent together. Streams of a host that ends within it
/// can't be resumed.
const COLLECT_TIME: Duration = Duration::from_millis(5);
/// Longest time to ask control hosts for an origin: a round trip between regions and a busy host.
const FIND_TIMEOUT: Duration = Duration::from_millis(250);

/// Origins of the streams of a routed fleet: a table of those that began on this host, and the control hosts,
/// which keep those of all hosts.
pub struct FleetOrigins {
    region: String,
    caller: Arc<dyn PeerCaller>,
    watch: Arc<FleetWatch>,
    counters: Counters,
    queue: Sender<(u64, StreamOrigin)>,
    own: Mutex<OriginTable>,
    /// Epoch of the directory of each control host by peer address; a new one means that it has restarted.
    epochs: Mutex<HashMap<String, u64>>,
}

/// What is known of a stream that a caller continues.
#[derive(Debug, Default)]
struct Findings {
    /// Who was asked, for the log.
    source: &'static str,
    origin: Option<StreamOrigin>,
    /// There are records of several origins.
    is_ambiguous: bool,
    /// Number of control hosts that were asked.
    asked: usize,
    /// The versions that the service had lately, as each control host that answered knows them.
    versions: Vec<BTreeSet<String>>,
}

impl FleetOrigins {
    /// Starts the task that sends records to the control hosts.
    pub fn spawn(
        region: &str,
        caller: Arc<dyn PeerCaller>,
        watch: Arc<FleetWatch>,
        counters: Counters,
    ) -> Arc<Self> {
        let (queue, records) = bounded(QUEUE_RECORDS);
        let origins = Arc::new(Self {
            region: region.to_owned(),
            caller,
            watch,
            counters,
            queue,
            own: Mutex::default(),
            epochs: Mutex::default(),
        });
        task::spawn(send_records(origins.clone(), records));
        origins
    }

    /// Sends all records to a control host that lost its own in a restart. `epoch` is that of its
    /// directory.
    pub fn record_epoch(&self, control_address: &str, epoch: u64) {
        let before = lock(&self.epochs).insert(control_address.to_owned(), epoch);
        if before.is_none_or(|before| before == epoch) {
            return;
        }
        let records: Vec<(u64, StreamOrigin)> =
            lock(&self.own).iter().map(|(hash, origin)| (hash, (**origin).clone())).collect();
        log::info!(event = "stream_origins_sent_again", address = control_address,
            records = records.len() as u64; "a control host restarted");
        self.send(control_address, records);
    }

    fn send(&self, address: &str, records: Vec<(u64, StreamOrigin)>) {
        if records.is_empty() {
            return;
        }
        let mut hashes: HashMap<StreamOrigin, Vec<u64>> = HashMap::new();
        for (hash, origin) in records {
            hashes.entry(origin).or_default().push(hash);
        }
        let groups = hashes.iter().map(|(origin, request_hashes)| StreamsOfOrigin {
            origin: Some(origin.into()),
            request_hashes: request_hashes.clone(),
        });
        let groups = groups.collect();
        let body = Body::StreamOrigins(WireOrigins { groups });
        self.caller.send(address, TrafficClass::Online, body);
    }

    /// Stores new records, and sends each to the control hosts that keep it.
    fn spread(&self, records: Vec<(u64, StreamOrigin)>) {
        let now = Instant::now();
        let keepers = self.watch.view().origin_keepers.clone();
        let mut by_keeper: HashMap<&str, Vec<(u64, StreamOrigin)>> = HashMap::new();
        let mut own = lock(&self.own);
        for (hash, origin) in records {
            own.insert(hash, &origin, now);
            for address in choose_keepers(&keepers, &self.region, hash) {
                by_keeper.entry(address).or_default().push((hash, origin.clone()));
            }
        }
        drop(own);
        for (address, records) in by_keeper {
            self.send(address, records);
        }
    }

    /// Looks for the record of a stream, here and at the control hosts. `resumed` is the request that brought its
    /// first event, if the caller names one.
    async fn look_up(&self, resumed: Option<&str>, service: &str) -> Findings {
        let Some(resumed) = resumed else {
            // Asks for the versions of the service only.
            let findings = self.ask(request_hash(""), service).await;
            let (origin, is_ambiguous) = (None, false);
            return Findings { source: "no_request_named", origin, is_ambiguous, ..findings };
        };
        let hash = request_hash(resumed);
        let own = lock(&self.own).find(hash);
        let own_findings = Findings { source: "this_host", ..Findings::default() };
        match own {
            KnownOrigin::Known(origin) => {
                Findings { origin: Some((*origin).clone()), ..own_findings }
            }
            KnownOrigin::Ambiguous => Findings { is_ambiguous: true, ..own_findings },
            KnownOrigin::Unknown => self.ask(hash, service).await,
        }
    }

    /// Asks control hosts for the origin of a stream of this service, until one knows it.
    async fn ask(&self, request_hash: u64, service: &str) -> Findings {
        let keepers = self.watch.view().origin_keepers.clone();
        let asked = choose_asked(&keepers, request_hash);
        let mut findings =
            Findings { source: "control_hosts", asked: asked.len(), ..Findings::default() };
        let mut replies: FuturesUnordered<_> = asked
            .into_iter()
            .map(|address| {
                let find = FindStreamOrigin { request_hash, service: service.to_owned() };
                let find = call::Call::FindStreamOrigin(find);
                let call = Call { call: Some(find), ..Call::default() };
                self.caller.call(address, TrafficClass::Online, call, FIND_TIMEOUT)
            })
            .collect();
        while let Some(reply) = replies.next().await {
            let Ok(Reply { reply: Some(reply::Reply::FoundStreamOrigin(found)) }) = reply else {
                continue;
            };
            findings.versions.push(found.versions.into_iter().collect());
            findings.is_ambiguous |= found.is_ambiguous;
            if let Some(origin) = found.origin {
                findings.origin = Some(origin.into());
                break;
            }
        }
        findings
    }

    /// The only origin that a stream of this service can have, if the control hosts agree that there was
    /// a single software version lately.
    fn only_origin(&self, service: &str, findings: &Findings) -> Option<StreamOrigin> {
        let own = self.watch.view().service_versions.versions(service, Instant::now());
        let version = only_version(findings.asked, &findings.versions, &own)?;
        Some(StreamOrigin { service: service.to_owned(), version })
    }
}

/// The service of a route; `None` if it has several.
fn only_service(route: &Route) -> Option<&str> {
    let mut services = route.shares.iter().filter(|share| share.weight > 0);
    services.next().filter(|_| services.next().is_none()).map(|share| share.service.as_str())
}

#[async_trait]
impl StreamOrigins for FleetOrigins {
    fn record(&self, request: &StreamRequest, origin: &StreamOrigin) {
        let hash = request_hash(&request.request_id);
        if self.queue.try_send((hash, origin.clone())).is_err() {
            self.counters.count("stream_origin_not_recorded");
        }
    }

    async fn find(&self, request: &StreamRequest, route: &Route) -> Option<StreamOrigin> {
        // A request that names itself says nothing of an earlier one.
        let resumed = request.resumes.as_deref().filter(|id| *id != request.request_id);
        let service = only_service(route);
        let findings = self.look_up(resumed, service.unwrap_or_default()).await;
        let origin = match &findings.origin {
            _ if findings.is_ambiguous => None,
            Some(origin) => Some(origin.clone()),
            None => service.and_then(|service| self.only_origin(service, &findings)),
        };
        self.counters.count(match &origin {
            Some(_) => "stream_origin_found",
            None => "stream_origin_unknown",
        });
        log::info!(event = "stream_resumed", request = request.request_id.as_str(),
            resumes = request.resumes.as_deref().unwrap_or_default(), source = findings.source,
            answers = findings.versions.len() as u64, is_ambiguous = findings.is_ambiguous,
            service = origin.as_ref().map_or("", |origin| &origin.service),
            version = origin.as_ref().map_or("", |origin| &origin.version);
            "the caller continues a stream");
        origin
    }
}

/// Sends records in batches: one message to each control host that keeps some of them.
async fn send_records(origins: Arc<FleetOrigins>, records: Receiver<(u64, StreamOrigin)>) {
    while let Ok(first) = records.recv().await {
        task::sleep(COLLECT_TIME).await;
        let mut batch = vec![first];
        while let Ok(record) = records.try_recv() {
            batch.push(record);
        }
        origins.spread(batch);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
