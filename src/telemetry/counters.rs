use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricSink, QueuingMetricSink, StatsdClient, Timed,
};

use crate::telemetry::named_cells::NamedCells;
use crate::telemetry::timer::Timer;

/// Prefix of all names at the StatsD server.
const STATSD_PREFIX: &str = "damaskhoist";
/// Metrics that may wait for the sending thread; more are dropped.
const STATSD_QUEUE_METRICS: usize = 8_192;

/// Counters, gauges and timers of a process. Clones share the same values.
#[derive(Clone)]
pub struct Counters {
    shared: Arc<Shared>,
}

struct Shared {
    counts: NamedCells<AtomicU64>,
    gauges: NamedCells<AtomicU64>,
    timers: NamedCells<Timer>,
    statsd: Option<StatsdClient>,
}

impl Counters {
    /// Opens the counters of a host; with `statsd` they are sent to that server over UDP as well.
    ///
    /// A server that cannot be reached is logged and does without: counters never stop a host.
    pub fn open(host_id: &str, statsd: Option<SocketAddr>) -> Self {
        let Some(address) = statsd else { return Self::with_client(None) };
        match udp_sink(address) {
            Ok(sink) => Self::with_sink(host_id, sink),
            Err(error) => {
                log::warn!("counters are not sent to {address}: {error}");
                Self::with_client(None)
            }
        }
    }

    /// Opens counters that go to `sink` as well, through a bounded queue with a thread of its own.
    pub fn with_sink<S>(host_id: &str, sink: S) -> Self
    where
        S: MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    {
        let queue = QueuingMetricSink::with_capacity(sink, STATSD_QUEUE_METRICS);
        // A full queue is an error of the client; the lost metric is not worth a log line.
        let client = StatsdClient::builder(STATSD_PREFIX, queue)
            .with_tag("host", host_id)
            .with_error_handler(|_| ())
            .build();
        Self::with_client(Some(client))
    }

    fn with_client(statsd: Option<StatsdClient>) -> Self {
        let shared = Shared {
            counts: NamedCells::default(),
            gauges: NamedCells::default(),
            timers: NamedCells::default(),
            statsd,
        };
        Self { shared: Arc::new(shared) }
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds `n` to a counter.
    pub fn add(&self, name: &'static str, n: u64) {
        self.shared.counts.with(name, |cell| {
            cell.fetch_add(n, Ordering::Relaxed);
        });
        if let Some(statsd) = &self.shared.statsd {
            statsd.count_with_tags(name, n).send();
        }
    }

    /// Records a time. StatsD gets it in milliseconds, as its protocol asks.
    pub fn time_us(&self, name: &'static str, us: u64) {
        self.shared.timers.with(name, |timer| timer.record(us));
        if let Some(statsd) = &self.shared.statsd {
            statsd.time_with_tags(name, us / 1_000).send();
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        self.shared.gauges.with(name, |cell| cell.store(value, Ordering::Relaxed));
        if let Some(statsd) = &self.shared.statsd {
            statsd.gauge_with_tags(name, value).send();
        }
    }

    /// All values by name. A timer `t` appears as `t.count`, `t.total_us`, `t.max_us`, `t.p50_us`
    /// and `t.p99_us`; the percentiles are at most a quarter too large.
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        let mut values = BTreeMap::new();
        self.shared.counts.for_each(|name, cell| {
            values.insert(name.to_owned(), cell.load(Ordering::Relaxed));
        });
        self.shared.gauges.for_each(|name, cell| {
            values.insert(name.to_owned(), cell.load(Ordering::Relaxed));
        });
        self.shared.timers.for_each(|name, timer| {
            values.insert(format!("{name}.count"), timer.count());
            values.insert(format!("{name}.total_us"), timer.total_us());
            values.insert(format!("{name}.max_us"), timer.max_us());
            values.insert(format!("{name}.p50_us"), timer.percentile_us(50));
            values.insert(format!("{name}.p99_us"), timer.percentile_us(99));
        });
        values
    }
}

fn udp_sink(address: SocketAddr) -> io::Result<BufferedUdpMetricSink> {
    let any: SocketAddr = match address {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)
}
