//! Polls of control hosts: what a host learns from their replies, and when.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use async_trait::async_trait;
use damaskhoist::directory::{FleetWatch, FleetWatchOptions, LeavingTable, SyncHandler};
use damaskhoist::peer::{CallError, PeerCaller, TrafficClass};
use damaskhoist::schema::peer::frame::Body;
use damaskhoist::schema::peer::{call, reply, Call, ControlSync, EntrySync, Reply};
use damaskhoist::schema::routes::RouteTable;

/// Time that each reply takes, as between regions.
const REPLY_TIME: Duration = Duration::from_millis(40);
/// Users allow 2.5 s from the acknowledgement of routes until they are in force.
const IN_FORCE_TIME: Duration = Duration::from_millis(2_500);

/// A control host whose replies take a while. Calls wait until there are routes that the caller lacks.
#[derive(Default)]
struct SlowControlHost {
    routes_version: AtomicUsize,
    /// Arrivals of calls.
    calls: Mutex<Vec<Instant>>,
    pending: Arc<AtomicUsize>,
    most_pending: AtomicUsize,
}

/// Counts a pending call until it ends or is dropped.
struct Pending(Arc<AtomicUsize>);

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

#[async_trait]
impl PeerCaller for SlowControlHost {
    async fn call(
        &self,
        _to: &str,
        _class: TrafficClass,
        call: Call,
        _timeout: Duration,
    ) -> Result<Reply, CallError> {
        let Some(call::Call::EntrySync(sync)) = call.call else { panic!("{call:?}") };
        let pending = self.pending.fetch_add(1, Ordering::SeqCst) + 1;
        self.most_pending.fetch_max(pending, Ordering::SeqCst);
        let _pending = Pending(self.pending.clone());
        self.calls.lock().unwrap().push(Instant::now());
        let until = Instant::now() + Duration::from_millis(sync.wait_ms.into());
        let version = || self.routes_version.load(Ordering::SeqCst) as u64;
        while version() <= sync.routes_version && Instant::now() < until {
            task::sleep(Duration::from_millis(5)).await;
        }
        let routes = RouteTable { version: version(), ..RouteTable::default() };
        task::sleep(REPLY_TIME).await;
        let reply = ControlSync {
            directory_epoch: 1,
            routes: (routes.version > sync.routes_version).then_some(routes),
            ..ControlSync::default()
        };
        Ok(Reply { reply: Some(reply::Reply::ControlSync(reply)) })
    }

    fn send(&self, _to: &str, _class: TrafficClass, _body: Body) {}
}

struct NoSync;

impl SyncHandler for NoSync {
    fn fill_request(&self, _to_address: &str, _sync: &mut EntrySync) {}
    fn handle_reply(&self, _from_address: &str, _reply: &ControlSync) {}
}

fn watch(caller: &Arc<SlowControlHost>) -> Arc<FleetWatch> {
    let options = FleetWatchOptions {
        host_id: "entry-1".into(),
        zone: "santander".into(),
        zone_regions: Default::default(),
        seed_addresses: vec!["10.0.0.1:7".into()],
        own_address: "10.0.0.9:7".into(),
        directory_timeout: Duration::from_secs(60),
        polls_all: false,
        leaving: Arc::<LeavingTable>::default(),
    };
    FleetWatch::spawn(options, caller.clone(), Arc::new(NoSync))
}

/// Guards against routes that never reach a host because each report drops the call whose reply brings them.
#[async_std::test]
async fn routes_arrive_while_reports_are_sent_faster_than_replies_come() {
    let control_host = Arc::<SlowControlHost>::default();
    let watch = watch(&control_host);
    for version in 1..=2 {
        control_host.routes_version.store(version as usize, Ordering::SeqCst);
        let acknowledged = Instant::now();
        while watch.view().routes.version < version {
            assert!(acknowledged.elapsed() < IN_FORCE_TIME, "version {version} is not in force");
            watch.sync_now();
            task::sleep(REPLY_TIME / 4).await;
        }
    }
    let most_pending = control_host.most_pending.load(Ordering::SeqCst);
    assert!(most_pending <= 2, "{most_pending} calls at a time");
}

/// Guards against a report that waits for the end of a pending long poll.
#[async_std::test]
async fn a_report_goes_out_while_a_long_poll_is_pending() {
    let control_host = Arc::<SlowControlHost>::default();
    let watch = watch(&control_host);
    // By now the first call waits for changes.
    task::sleep(REPLY_TIME * 5).await;
    let requested = Instant::now();
    watch.sync_now();
    task::sleep(REPLY_TIME).await;
    let calls = control_host.calls.lock().unwrap();
    assert!(calls.last().is_some_and(|call| *call >= requested), "no call after the change");
}
