use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::task::{self, JoinHandle};

use crate::admission::CrashRecord;
use crate::membership::{
    AnnounceOutcome, Announcement, GossipMessage, GossipTable, MembershipOptions, MembershipView,
    Outgoing, Status,
};
use crate::peer::{PeerCaller, TrafficClass};
use crate::schema::peer::frame::Body;
use crate::schema::peer::Gossip;

/// Capacity of the inbox. Messages beyond it are dropped; repairs make up for the lost records.
const INBOX_MESSAGES: usize = 1024;

/// Handle to the running membership of this host.
#[derive(Clone)]
pub struct Membership {
    shared: Arc<Shared>,
    driver: Arc<Mutex<Option<JoinHandle<()>>>>,
}

/// Message counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Messages sent.
    pub sent: u64,
    /// Messages taken from the inbox, malformed ones included.
    pub received: u64,
    /// Messages rejected as malformed.
    pub refused: u64,
    /// Messages dropped because the inbox was full or closed.
    pub dropped: u64,
}

struct Shared {
    table: Mutex<GossipTable>,
    view: ArcSwap<MembershipView>,
    subscribers: Mutex<Vec<Subscriber>>,
    inbox: Sender<Gossip>,
    caller: Arc<dyn PeerCaller>,
    clock: Clock,
    sent: AtomicU64,
    received: AtomicU64,
    refused: AtomicU64,
    dropped: AtomicU64,
}

struct Subscriber {
    views: Sender<Arc<MembershipView>>,
    // Receiving end of `views`, from which `send` removes a view that was not read yet.
    unread: Receiver<Arc<MembershipView>>,
}

impl Membership {
    /// Starts the gossip task of this host.
    pub fn spawn(options: MembershipOptions, caller: Arc<dyn PeerCaller>) -> Self {
        let clock = Clock::start();
        let interval = Duration::from_millis(options.gossip_interval_ms);
        let mut table = GossipTable::new(options, rand::random(), clock.now_ms());
        let view = table.take_view(clock.now_ms()).unwrap_or_default();
        let (inbox, inbox_receiver) = bounded(INBOX_MESSAGES);
        let shared = Arc::new(Shared {
            table: Mutex::new(table),
            view: ArcSwap::from_pointee(view),
            subscribers: Mutex::default(),
            inbox,
            caller,
            clock,
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        });
        let driver = task::spawn(run_gossip_loop(shared.clone(), inbox_receiver, interval));
        Self { shared, driver: Arc::new(Mutex::new(Some(driver))) }
    }

    /// The current view of the fleet, read without a lock.
    pub fn view(&self) -> Arc<MembershipView> {
        self.shared.view.load_full()
    }

    /// Subscribes to changes of the view; a slow reader receives only the latest view. The channel
    /// closes when the membership stops.
    pub fn subscribe(&self) -> Receiver<Arc<MembershipView>> {
        let (views, unread) = bounded(1);
        let receiver = unread.clone();
        self.shared.subscribers().push(Subscriber { views, unread });
        receiver
    }

    /// Queues a message from another host without blocking; drops it if the inbox is full.
    pub fn receive(&self, gossip: Gossip) {
        if self.shared.inbox.try_send(gossip).is_err() {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Processes an announcement of an upstream. If it is accepted, this host becomes the home host
    /// of the upstream.
    pub fn announce(&self, announcement: Announcement) -> AnnounceOutcome {
        let now_ms = self.shared.clock.now_ms();
        self.shared.update(|table| table.announce(now_ms, announcement))
    }

    /// Announces that this host accepts no new work.
    pub fn set_leaving(&self) {
        let now_ms = self.shared.clock.now_ms();
        self.shared.update(|table| table.set_leaving(now_ms));
    }

    /// Sets the version of the configuration in force on this host. It is published after a random
    /// delay that grows with the fleet, because each version changes the record of every host.
    pub fn set_configuration_version(&self, version: u64) {
        let now_ms = self.shared.clock.now_ms();
        self.shared.update(|table| table.set_configuration_version(now_ms, version));
    }

    /// Publishes a crash record, which is merged with the known record of the same fingerprint.
    pub fn publish_crash_record(&self, crash: CrashRecord) {
        let now_ms = self.shared.clock.now_ms();
        self.shared.update(|table| table.publish_crash_record(now_ms, crash));
    }

    /// Message counts since the start of the process.
    pub fn counters(&self) -> MembershipCounters {
        MembershipCounters {
            sent: self.shared.sent.load(Ordering::Relaxed),
            received: self.shared.received.load(Ordering::Relaxed),
            refused: self.shared.refused.load(Ordering::Relaxed),
            dropped: self.shared.dropped.load(Ordering::Relaxed),
        }
    }

    /// Notifies a few hosts that this host has left, and stops the gossip task.
    pub async fn close(self) {
        let now_ms = self.shared.clock.now_ms();
        let leave_notices = self.shared.update(|table| table.leave(now_ms));
        self.shared.send(leave_notices);
        self.shared.inbox.close();
        let driver = self.driver.lock().expect("lock is not poisoned").take();
        if let Some(driver) = driver {
            driver.await;
        }
    }
}

impl Shared {
    /// Applies `change` to the table, and publishes the view if it changed.
    fn update<T>(&self, change: impl FnOnce(&mut GossipTable) -> T) -> T {
        let mut table = self.table.lock().expect("lock is not poisoned");
        let result = change(&mut table);
        // Published under the lock, so that an older view never replaces a newer one.
        if let Some(view) = table.take_view(self.clock.now_ms()) {
            self.publish(Arc::new(view));
        }
        result
    }

    fn publish(&self, view: Arc<MembershipView>) {
        log_changes(&self.view.load(), &view);
        self.view.store(view.clone());
        self.subscribers().retain(|subscriber| subscriber.send(&view));
    }

    fn send(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { address, message } in outgoing {
            self.sent.fetch_add(1, Ordering::Relaxed);
            let body = Body::Gossip(Gossip::from(&message));
            self.caller.send(&address, TrafficClass::Online, body);
        }
    }

    fn receive(&self, gossip: Gossip) {
        self.received.fetch_add(1, Ordering::Relaxed);
        let Ok(message) = GossipMessage::try_from(gossip) else {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let now_ms = self.clock.now_ms();
        let outgoing = self.update(|table| table.receive(now_ms, &message));
        self.send(outgoing);
    }

    fn subscribers(&self) -> std::sync::MutexGuard<'_, Vec<Subscriber>> {
        self.subscribers.lock().expect("lock is not poisoned")
    }
}

impl Subscriber {
    /// Replaces the unread view. Returns false once all readers have dropped their receivers.
    fn send(&self, view: &Arc<MembershipView>) -> bool {
        let _ = self.unread.try_recv();
        let _ = self.views.try_send(view.clone());
        self.views.receiver_count() > 1
    }
}

async fn run_gossip_loop(
    shared: Arc<Shared>,
    inbox_receiver: Receiver<Gossip>,
    interval: Duration,
) {
    let mut next_round = Instant::now();
    loop {
        let wait = next_round.saturating_duration_since(Instant::now());
        match async_std::future::timeout(wait, inbox_receiver.recv()).await {
            Ok(Ok(gossip)) => shared.receive(gossip),
            Ok(Err(_)) => break,
            Err(_) => {}
        }
        let now = Instant::now();
        if now < next_round {
            continue;
        }
        // Scheduled from now, so that a stalled process does not run all missed rounds at once.
        next_round = now + interval;
        let now_ms = shared.clock.now_ms();
        let outgoing = shared.update(|table| table.tick(now_ms));
        shared.send(outgoing);
    }
    shared.subscribers().clear();
}

fn log_changes(before: &MembershipView, after: &MembershipView) {
    if before.isolated != after.isolated {
        let message = if after.isolated {
            "isolated: no other host answers probes"
        } else {
            "no longer isolated: other hosts answer probes"
        };
        log::warn!("{message}");
    }
    let mut earlier = before.hosts.iter().peekable();
    for host in &after.hosts {
        while earlier.next_if(|old| old.record.host_id < host.record.host_id).is_some() {}
        let old = earlier.next_if(|old| old.record.host_id == host.record.host_id);
        if old.map_or(Status::Left, |old| old.status) != host.status {
            log::info!("host {} is {:?}", host.record.host_id, host.status);
        }
    }
}

/// Unix time that is monotonic while the process runs.
struct Clock {
    start: Instant,
    start_unix_ms: u64,
}

impl Clock {
    fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_unix_ms: unix.as_millis() as u64 }
    }

    fn now_ms(&self) -> u64 {
        self.start_unix_ms + self.start.elapsed().as_millis() as u64
    }
}
