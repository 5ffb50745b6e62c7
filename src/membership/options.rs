use crate::membership::HostRecord;

/// Options of a host's membership.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// The host's own record.
    pub host: HostRecord,
    /// Unix milliseconds at the start of the process.
    pub incarnation: u64,
    /// Peer addresses of a few hosts to contact first.
    pub seed_addresses: Vec<String>,
    /// Interval between gossip rounds, each with one probe.
    pub gossip_interval_ms: u64,
    /// Time to wait for an answer, to a direct probe and then again to indirect probes.
    pub probe_timeout_ms: u64,
    /// Time in which a suspected host can refute the suspicion before it is declared dead.
    pub suspicion_ms: u64,
    /// Time without an answer from any host after which this host considers itself isolated; at
    /// least five gossip rounds.
    pub isolation_ms: u64,
    /// Time without an answer after which this host shows all others as dead, in its own view only.
    pub isolation_limit_ms: u64,
    /// Time for which the records of dead and left hosts and upstreams are kept.
    pub tombstone_ms: u64,
}

impl MembershipOptions {
    /// Options with the default times.
    pub fn new(host: HostRecord, incarnation: u64) -> Self {
        Self {
            host,
            incarnation,
            seed_addresses: Vec::new(),
            gossip_interval_ms: 200,
            // Seven round trips of 40 ms between regions.
            probe_timeout_ms: 300,
            suspicion_ms: 800,
            isolation_ms: 1_000,
            isolation_limit_ms: 10_000,
            // Longer than a partition between regions of one hour, so that both sides still have
            // each other's records afterwards.
            tombstone_ms: 2 * 60 * 60 * 1_000,
        }
    }
}
