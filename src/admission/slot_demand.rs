use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::routing::{Upstream, WorkClass};

/// Demand of a request that needs a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotDemand<'a> {
    /// Customer whose share the request uses.
    pub customer: &'a str,
    /// Upper bound of the answer's tokens; 0 when unknown.
    pub expected_tokens: u32,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}

impl SlotDemand<'_> {
    /// Expected time to generate the answer on the fastest candidate; zero while any candidate has
    /// no measurement.
    pub fn run_time(&self, candidates: &[Arc<Upstream>]) -> Duration {
        let tokens = u64::from(self.expected_tokens.saturating_sub(1));
        let times = candidates.iter().map(|upstream| {
            let first_us = upstream.token_latency.first_token_us();
            if first_us == 0 {
                0
            } else {
                first_us + tokens * upstream.token_latency.token_us()
            }
        });
        Duration::from_micros(times.min().unwrap_or(0))
    }

    /// Expected wait for a slot at the candidates, with `ahead` requests in front.
    ///
    /// Slots that batch streams use count as free, because batch is preempted at once.
    pub fn expected_wait(&self, ahead: usize, candidates: &[Arc<Upstream>]) -> Duration {
        let batch: u64 =
            sum(candidates, |upstream| upstream.in_use_by_class(WorkClass::Batch).into());
        let slots: u64 = sum(candidates, |upstream| upstream.slots().slots.into());
        let service_us: u64 = sum(candidates, |upstream| {
            upstream.average_slot_us() * u64::from(upstream.slots().slots)
        });
        let turns = (ahead as u64 + 1).saturating_sub(batch);
        if slots == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros(turns * (service_us / slots) / slots)
    }
}

fn sum(candidates: &[Arc<Upstream>], value: impl Fn(&Upstream) -> u64) -> u64 {
    candidates.iter().map(|upstream| value(upstream)).sum()
}
