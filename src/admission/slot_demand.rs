use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::routing::{Upstream, WorkClass};

/// What a request that needs a slot expects of it.
#[derive(Clone, Copy, Debug)]
pub struct SlotDemand<'a> {
    /// Customer whose share it uses.
    pub customer: &'a str,
    /// Tokens of the answer at most; 0 when not known.
    pub expected_tokens: u32,
    /// Time at which the whole answer must be there.
    pub deadline: Instant,
}

impl SlotDemand<'_> {
    /// Time that the answer takes on the fastest candidate, zero before any was measured.
    pub fn run_time(&self, candidates: &[Arc<Upstream>]) -> Duration {
        let tokens = u64::from(self.expected_tokens.saturating_sub(1));
        let times = candidates.iter().map(|upstream| {
            let first_us = upstream.pace.first_token_us();
            if first_us == 0 {
                0
            } else {
                first_us + tokens * upstream.pace.token_us()
            }
        });
        Duration::from_micros(times.min().unwrap_or(0))
    }

    /// Time until the candidates have a slot for the request behind `ahead` others.
    ///
    /// Slots of batch streams count as free, because these are cut at once.
    pub fn expected_wait(&self, ahead: usize, candidates: &[Arc<Upstream>]) -> Duration {
        let batch: u64 = sum(candidates, |upstream| upstream.in_use_by(WorkClass::Batch).into());
        let slots: u64 = sum(candidates, |upstream| upstream.slots().slots.into());
        let service_us: u64 =
            sum(candidates, |upstream| upstream.service_us() * u64::from(upstream.slots().slots));
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
