use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::task::{self, JoinHandle};

use crate::membership::{
    AnnounceOutcome, Announcement, CrashRecord, GossipMessage, GossipTable, MembershipOptions,
    MembershipView, Outgoing, Status,
};
use crate::peer::{PeerCaller, TrafficClass};
use crate::schema::peer::frame::Body;
use crate::schema::peer::Gossip;

/// Messages that may wait to be read; gossip repairs what is dropped beyond that.
const INBOX_MESSAGES: usize = 1024;

/// Running membership of this host.
#[derive(Clone)]
pub struct Membership {
    shared: Arc<Shared>,
    driver: Arc<Mutex<Option<JoinHandle<()>>>>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Messages sent.
    pub sent: u64,
    /// Messages read.
    pub received: u64,
    /// Messages that were malformed.
    pub refused: u64,
    /// Messages that came faster than they were read.
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
    // Lets a new view replace one that was not read yet.
    unread: Receiver<Arc<MembershipView>>,
}

impl Membership {
    /// Starts to gossip with the hosts of the fleet.
    pub fn spawn(options: MembershipOptions, caller: Arc<dyn PeerCaller>) -> Self {
        let clock = Clock::start();
        let interval = Duration::from_millis(options.gossip_interval_ms);
        let mut table = GossipTable::new(options, rand::random(), clock.now_ms());
        let view = table.take_view(clock.now_ms()).unwrap_or_default();
        let (inbox, messages) = bounded(INBOX_MESSAGES);
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
        let driver = task::spawn(drive(shared.clone(), messages, interval));
        Self { shared, driver: Arc::new(Mutex::new(Some(driver))) }
    }

    /// The fleet as this host sees it now. Takes no lock.
    pub fn view(&self) -> Arc<MembershipView> {
        self.shared.view.load_full()
    }

    /// Views as they change; a reader that is slow gets the latest one only. The channel closes
    /// with the membership.
    pub fn subscribe(&self) -> Receiver<Arc<MembershipView>> {
        let (views, unread) = bounded(1);
        let receiver = unread.clone();
        self.shared.subscribers().push(Subscriber { views, unread });
        receiver
    }

    /// Takes a message of another host. Does not block.
    pub fn receive(&self, gossip: Gossip) {
        if self.shared.inbox.try_send(gossip).is_err() {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// An upstream announced itself to this host, which becomes its home host.
    pub fn announce(&self, announcement: Announcement) -> AnnounceOutcome {
        let now_ms = self.shared.clock.now_ms();
        self.shared.change(|table| table.announce(now_ms, announcement))
    }

    /// Says that this host takes no new work.
    pub fn set_leaving(&self) {
        let now_ms = self.shared.clock.now_ms();
        self.shared.change(|table| table.set_leaving(now_ms));
    }

    /// Sets the version of the configuration in force on this host. Other hosts learn of it with
    /// a delay that grows with the fleet, because each version is a change on every host.
    pub fn set_configuration_version(&self, version: u64) {
        let now_ms = self.shared.clock.now_ms();
        self.shared.change(|table| table.set_configuration_version(now_ms, version));
    }

    /// Spreads a crash suspect or verdict, which joins what is known of its fingerprint.
    pub fn publish_crash(&self, crash: CrashRecord) {
        let now_ms = self.shared.clock.now_ms();
        self.shared.change(|table| table.publish_crash(now_ms, crash));
    }

    /// Counts since the start.
    pub fn counters(&self) -> MembershipCounters {
        MembershipCounters {
            sent: self.shared.sent.load(Ordering::Relaxed),
            received: self.shared.received.load(Ordering::Relaxed),
            refused: self.shared.refused.load(Ordering::Relaxed),
            dropped: self.shared.dropped.load(Ordering::Relaxed),
        }
    }

    /// Tells a few hosts that this one is gone, and stops.
    pub async fn close(self) {
        let now_ms = self.shared.clock.now_ms();
        let farewells = self.shared.change(|table| table.leave(now_ms));
        self.shared.send(farewells);
        self.shared.inbox.close();
        let driver = self.driver.lock().expect("lock is not poisoned").take();
        if let Some(driver) = driver {
            driver.await;
        }
    }
}

impl Shared {
    /// Changes the table, and publishes the view when it changed with it.
    fn change<T>(&self, change: impl FnOnce(&mut GossipTable) -> T) -> T {
        let mut table = self.table.lock().expect("lock is not poisoned");
        let result = change(&mut table);
        // Published under the lock, so that views never go back.
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
        let outgoing = self.change(|table| table.receive(now_ms, &message));
        self.send(outgoing);
    }

    fn subscribers(&self) -> std::sync::MutexGuard<'_, Vec<Subscriber>> {
        self.subscribers.lock().expect("lock is not poisoned")
    }
}

impl Subscriber {
    /// Replaces the unread view; false when nobody reads any more.
    fn send(&self, view: &Arc<MembershipView>) -> bool {
        let _ = self.unread.try_recv();
        let _ = self.views.try_send(view.clone());
        self.views.receiver_count() > 1
    }
}

async fn drive(shared: Arc<Shared>, messages: Receiver<Gossip>, interval: Duration) {
    let mut next_round = Instant::now();
    loop {
        let wait = next_round.saturating_duration_since(Instant::now());
        match async_std::future::timeout(wait, messages.recv()).await {
            Ok(Ok(gossip)) => shared.receive(gossip),
            Ok(Err(_)) => break,
            Err(_) => {}
        }
        let now = Instant::now();
        if now < next_round {
            continue;
        }
        // Counted from now, so that a stalled process does not send the missed rounds at once.
        next_round = now + interval;
        let now_ms = shared.clock.now_ms();
        let outgoing = shared.change(|table| table.tick(now_ms));
        shared.send(outgoing);
    }
    shared.subscribers().clear();
}

fn log_changes(before: &MembershipView, after: &MembershipView) {
    if before.isolated != after.isolated {
        let change = if after.isolated { "no other host answers" } else { "other hosts answer" };
        log::warn!("{change}");
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

/// Unix time that never goes back while the process runs.
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
