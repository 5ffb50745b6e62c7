use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_std::future;
use async_std::net::TcpStream;
use futures::{pin_mut, select_biased, FutureExt};
use http_types::{Method, Request};

use crate::engine::{Incarnation, Shared};
use crate::schema::Announcement;

/// Time after which an entry host that has not answered counts as failed.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Announces one incarnation of an upstream to one entry host at a time.
pub(crate) struct Announcer {
    shared: Arc<Shared>,
    incarnation: Arc<Incarnation>,
    entry_index: usize,
    sequence: u64,
}

impl Announcer {
    pub(crate) fn new(shared: Arc<Shared>, incarnation: Arc<Incarnation>) -> Self {
        Self { shared, incarnation, entry_index: 0, sequence: 0 }
    }

    pub(crate) async fn run(mut self) {
        let stop = self.incarnation.stop.clone();
        let announcing = self.announce_regularly().fuse();
        let stop = stop.wait().fuse();
        pin_mut!(announcing, stop);
        select_biased! {
            () = stop => {}
            () = announcing => {}
        }
    }

    async fn announce_regularly(&mut self) {
        if self.shared.options.entry_addresses.is_empty() {
            return;
        }
        let interval = Duration::from_millis(self.shared.options.announce_interval_ms);
        let requests = self.incarnation.announce_requests.clone();
        loop {
            self.shared.thawed().await;
            self.announce().await;
            // The time-out is the regular case; a request announces a change at once.
            let _ = future::timeout(interval, requests.recv()).await;
        }
    }

    /// Tries each entry once, starting with the last one that answered.
    async fn announce(&mut self) {
        let entry_count = self.shared.options.entry_addresses.len();
        self.sequence += 1;
        let body = serde_json::to_vec(&self.announcement()).expect("the message has no map keys");
        for _ in 0..entry_count {
            let entry = &self.shared.options.entry_addresses[self.entry_index];
            if let Ok(Ok(true)) = future::timeout(ENTRY_TIMEOUT, post(entry, &body)).await {
                self.shared.stats.lock().expect("no holder panics").announcements += 1;
                return;
            }
            self.entry_index = (self.entry_index + 1) % entry_count;
            log::debug!("{}: entry {entry} took no announcement", self.shared.upstream_id);
        }
    }

    fn announcement(&self) -> Announcement {
        let options = &self.shared.options;
        let load = self.incarnation.service.load();
        let leaving = self.incarnation.leaving.load(Ordering::Relaxed);
        Announcement {
            upstream_id: self.shared.upstream_id.clone(),
            incarnation: self.incarnation.number,
            service: options.service.clone(),
            address: self.shared.address.to_string(),
            zone: options.zone.clone(),
            region: options.region.clone(),
            models: self.incarnation.service.models(),
            slots: options.slots,
            lease_ms: options.lease_ms,
            checks_fencing: options.checks_fencing,
            role: self.incarnation.service.role(),
            plain: options.plain,
            status: if leaving { "leaving" } else { "serving" }.to_owned(),
            running: load.running,
            waiting: load.waiting,
            sequence: self.sequence,
        }
    }
}

/// Sends one announcement; true when the entry accepted it.
async fn post(entry: &str, body: &[u8]) -> io::Result<bool> {
    let stream = TcpStream::connect(entry).await?;
    stream.set_nodelay(true)?;
    let url = format!("http://{entry}/v1/upstreams/announce");
    let url = url.parse::<http_types::Url>().map_err(io::Error::other)?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header("content-type", "application/json");
    request.insert_header("connection", "close");
    request.set_body(body);
    let answer = async_h1::connect(stream, request).await;
    answer.map(|answer| answer.status().is_success()).map_err(|e| io::Error::other(e.to_string()))
}
