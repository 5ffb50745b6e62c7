use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

use crate::admission::{
    rendezvous_hash, CrashRecord, CrashTable, CrashVerdict, CrashWatch, Fingerprint,
    RequestFingerprints, DEFAULT_CRASH_VERDICT_MS,
};
use crate::control::unix_ms;
use crate::gateway::{Refusal, StreamRequest, Upstream};

/// Losses after which a whole request is convicted.
const REQUEST_CONVICTION_LOSSES: usize = 3;
/// Time after the last loss at which one entry host tries a convicted content again; doubled with
/// each loss beyond the number that convicts. A content that was convicted by chance is cleared then.
const RETRIAL_DELAY_MS: u64 = 20_000;
/// Time that the outcome of such a try takes to be known.
const RETRIAL_TIME: Duration = Duration::from_secs(5);
/// Shortest delay after which the caller of a convicted request is told to come back.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Keeps requests that crash upstreams from being sent again and again, with the crash records of all
/// hosts.
pub struct CrashGuard {
    host_id: String,
    table: Arc<CrashTable>,
    watch: CrashWatch,
    /// Ids of the ready entry hosts.
    entry_hosts: ArcSwap<Vec<String>>,
    /// When this host last tried a convicted content.
    retrials: Mutex<HashMap<Fingerprint, Instant>>,
}

impl CrashGuard {
    /// Creates the guard of a host without records.
    pub fn open(host_id: &str) -> Self {
        let table = Arc::new(CrashTable::open());
        Self {
            host_id: host_id.to_owned(),
            watch: CrashWatch::open(table.clone(), REQUEST_CONVICTION_LOSSES),
            table,
            entry_hosts: ArcSwap::default(),
            retrials: Mutex::default(),
        }
    }

    /// The crash records.
    pub fn table(&self) -> &Arc<CrashTable> {
        &self.table
    }

    /// Sets the ready entry hosts, one of which tries a convicted content again.
    pub fn set_entry_hosts(&self, host_ids: Vec<String>) {
        self.entry_hosts.store(Arc::new(host_ids));
    }

    /// Processes records that other hosts have changed.
    pub fn handle_changes(&self, changes: &[Arc<CrashRecord>]) {
        self.watch.clear_recent(changes);
    }

    /// The refusal of a request that is known to crash upstreams; `None` if it may be sent.
    pub fn check(&self, request: &StreamRequest) -> Option<Refusal> {
        if self.table.is_empty() {
            return None;
        }
        let verdict = self.watch.verdict(&fingerprints(request));
        let CrashVerdict::Convicted { expires_unix_ms, losses, fingerprint } = verdict else {
            return None;
        };
        let lost_at_ms = expires_unix_ms.saturating_sub(DEFAULT_CRASH_VERDICT_MS);
        let doublings = losses.saturating_sub(REQUEST_CONVICTION_LOSSES).min(16);
        let delay_ms = RETRIAL_DELAY_MS << doublings;
        let left_ms = (lost_at_ms + delay_ms).saturating_sub(unix_ms());
        if left_ms == 0 && self.begin_retrial(fingerprint) {
            log::info!(event = "crash_retrial", request = request.request_id.as_str(),
                losses = losses; "trying a convicted content again");
            return None;
        }
        let retry_after = Duration::from_millis(left_ms.max(MIN_RETRY_AFTER_MS));
        let reason = format!("{losses} upstreams crashed under such requests");
        Some(Refusal::not_run(reason, retry_after))
    }

    /// True if this host is the one to try a convicted content, and has not done so just now.
    fn begin_retrial(&self, fingerprint: Fingerprint) -> bool {
        let hash = |host_id: &str| rendezvous_hash(host_id.as_bytes(), fingerprint.as_bytes());
        let entry_hosts = self.entry_hosts.load();
        let chosen = entry_hosts.iter().max_by_key(|host_id| hash(host_id));
        if chosen != Some(&self.host_id) {
            return false;
        }
        let mut retrials = self.retrials.lock().unwrap_or_else(PoisonError::into_inner);
        retrials.retain(|_, begun| begun.elapsed() < RETRIAL_TIME);
        if retrials.contains_key(&fingerprint) {
            return false;
        }
        retrials.insert(fingerprint, Instant::now());
        true
    }

    /// Records that an upstream crashed when it began the answer to a request.
    pub fn record_loss(&self, request: &StreamRequest, upstream: &Upstream) {
        let (id, incarnation) = (&upstream.upstream_id, upstream.started_at_unix_ms);
        let verdict = self.watch.record_loss(&fingerprints(request), id, incarnation);
        log::warn!(event = "upstream_crashed", upstream = id.as_str(),
            request = request.request_id.as_str(), prompt = request.prompt.to_string().as_str();
            "{verdict:?}");
    }

    /// Records that an upstream has begun the answer to a request.
    pub fn record_run(&self, request: &StreamRequest) {
        if self.table.is_empty() {
            let parts = shared_parts(request);
            let fingerprints = RequestFingerprints { parts, ..RequestFingerprints::default() };
            return self.watch.record_parts_run(&fingerprints);
        }
        self.watch.record_run(&fingerprints(request));
    }
}

fn fingerprints(request: &StreamRequest) -> RequestFingerprints {
    let content = [request.host.as_bytes(), request.target.as_bytes(), &request.body];
    RequestFingerprints { parts: shared_parts(request), request: Fingerprint::of(&content) }
}

fn shared_parts(request: &StreamRequest) -> Vec<Fingerprint> {
    request.prompt.shared_parts().map(|id| Fingerprint::of(&[&id.to_be_bytes()])).collect()
}
