use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use crate::peer::{CallCounts, MessageKind, ZoneTraffic};

/// Bytes on the peer connections that other hosts opened to this one, by availability zone of the
/// other host. Each connection is counted at the end that accepted it, so the sum over all hosts counts
/// each message once. Counts the calls on them as well.
#[derive(Default)]
pub struct PeerTraffic {
    calls: CallCounts,
    zones: Mutex<BTreeMap<String, Arc<ZoneTraffic>>>,
}

impl PeerTraffic {
    /// What became of the calls on these connections.
    pub fn calls(&self) -> &CallCounts {
        &self.calls
    }

    /// Counters of the connections from one zone; looked up once for each connection.
    pub fn zone(&self, zone: &str) -> Arc<ZoneTraffic> {
        let mut zones = self.zones.lock().unwrap_or_else(PoisonError::into_inner);
        zones.entry(zone.to_owned()).or_default().clone()
    }

    /// Calls `visit` with each zone, kind, direction (`received` or `sent`) and number of bytes, where
    /// the number is not 0.
    pub fn for_each(&self, mut visit: impl FnMut(&str, MessageKind, &'static str, u64)) {
        let zones = self.zones.lock().unwrap_or_else(PoisonError::into_inner);
        for (zone, traffic) in zones.iter() {
            for kind in MessageKind::ALL {
                let (received, sent) = traffic.bytes(kind);
                for (direction, bytes) in [("received", received), ("sent", sent)] {
                    if bytes > 0 {
                        visit(zone, kind, direction, bytes);
                    }
                }
            }
        }
    }
}
