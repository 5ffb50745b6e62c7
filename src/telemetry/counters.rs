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

/// Prefix of every metric name sent to StatsD.
const STATSD_PREFIX: &str = "damaskhoist";
/// Capacity of the StatsD send queue, in metrics. Metrics are dropped while it is full.
const STATSD_QUEUE_METRICS: usize = 8_192;

/// Registry of the counters, gauges and timers of a process. Clones share the same values.
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
    /// Creates the metrics registry of a host. If `statsd` is set, every update is also sent to
    /// that server over UDP.
    ///
    /// If the UDP socket cannot be set up, the error is logged and metrics are only kept in memory:
    /// a metrics failure must not stop a host.
    pub fn open(host_id: &str, statsd: Option<SocketAddr>) -> Self {
        let Some(address) = statsd else { return Self::with_client(None) };
        match udp_sink(address) {
            Ok(sink) => Self::with_sink(host_id, sink),
            Err(error) => {
                log::warn!("metrics are not exported to StatsD at {address}: {error}");
                Self::with_client(None)
            }
        }
    }

    /// Creates a registry that also sends every update to `sink`, through a bounded queue that is
    /// drained by a separate thread.
    pub fn with_sink<S>(host_id: &str, sink: S) -> Self
    where
        S: MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    {
        let queue = QueuingMetricSink::with_capacity(sink, STATSD_QUEUE_METRICS);
        // The client reports a full queue as an error. A dropped metric is not worth a log line.
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

    /// Increments a counter by one.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Increments a counter by `n`.
    pub fn add(&self, name: &'static str, n: u64) {
        self.shared.counts.with_cell(name, |cell| {
            cell.fetch_add(n, Ordering::Relaxed);
        });
        if let Some(statsd) = &self.shared.statsd {
            statsd.count_with_tags(name, n).send();
        }
    }

    /// Records a duration in microseconds. It is sent to StatsD in whole milliseconds, the unit of
    /// the StatsD timer type.
    pub fn time_us(&self, name: &'static str, us: u64) {
        self.shared.timers.with_cell(name, |timer| timer.record(us));
        if let Some(statsd) = &self.shared.statsd {
            statsd.time_with_tags(name, us / 1_000).send();
        }
    }

    /// Sets a gauge to `value`.
    pub fn gauge(&self, name: &'static str, value: u64) {
        self.shared.gauges.with_cell(name, |cell| cell.store(value, Ordering::Relaxed));
        if let Some(statsd) = &self.shared.statsd {
            statsd.gauge_with_tags(name, value).send();
        }
    }

    /// Returns all current values by name. A timer `t` is reported as `t.count`, `t.total_us`,
    /// `t.max_us`, `t.p50_us` and `t.p99_us`; the percentiles overestimate by at most 25%.
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
    let unspecified: SocketAddr = match address {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(unspecified)?;
    socket.set_nonblocking(true)?;
    BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)
}
