use std::collections::HashMap;
use std::time::Duration;

use crate::schema::peer::SentAt;

/// Time for which the smallest offset of a clock counts at least. Two clocks drift apart by some milliseconds in it.
const WINDOW_MS: u64 = 60_000;
/// Most clocks that are known, above the number of hosts of a large fleet and their restarts in two windows.
const CLOCK_LIMIT: usize = 1_024;

/// Measures how long messages of other hosts were on the way beyond the fastest one, without clocks that agree.
///
/// Each message bears the time of its sender's clock, which counts suspensions. The difference to the own clock is an unknown offset
/// plus the time on the way, so a message whose difference exceeds the smallest one was held up by the excess.
#[derive(Debug, Default)]
pub struct TransitDelays {
    clocks: HashMap<u64, ClockOffset>,
}

#[derive(Debug)]
struct ClockOffset {
    window_began_ms: u64,
    smallest_ms: i64,
    last_smallest_ms: i64,
}

impl TransitDelays {
    /// Time for which a message was held up that arrives at `now_ms`; zero if nothing is known of its clock.
    pub fn record(&mut self, sent_at: &SentAt, now_ms: u64) -> Duration {
        let offset = (now_ms as i64).wrapping_sub(sent_at.clock_ms as i64);
        if self.clocks.len() >= CLOCK_LIMIT && !self.clocks.contains_key(&sent_at.clock_id) {
            self.clocks.retain(|_, clock| now_ms < clock.window_began_ms + 2 * WINDOW_MS);
            if self.clocks.len() >= CLOCK_LIMIT {
                return Duration::ZERO;
            }
        }
        let clock = self.clocks.entry(sent_at.clock_id).or_insert(ClockOffset {
            window_began_ms: now_ms,
            smallest_ms: offset,
            last_smallest_ms: offset,
        });
        if now_ms >= clock.window_began_ms + WINDOW_MS {
            clock.last_smallest_ms = clock.smallest_ms;
            (clock.window_began_ms, clock.smallest_ms) = (now_ms, offset);
        }
        clock.smallest_ms = clock.smallest_ms.min(offset);
        let smallest = clock.smallest_ms.min(clock.last_smallest_ms);
        Duration::from_millis(u64::try_from(offset.saturating_sub(smallest)).unwrap_or(0))
    }
}
