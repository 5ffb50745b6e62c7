use std::time::{Duration, Instant};

/// Calls that may be in flight to a peer of which nothing is known.
const FIRST_LIMIT: usize = 256;
/// Most calls in flight to a peer.
const MAX_LIMIT: usize = 1_024;
/// Calls in flight that a peer which is only slow is left with. One slow answer in a quiet fleet must not hold up the
/// calls of a host.
const SLOW_LIMIT: usize = 4;
/// Pause after a call that failed although it was the only one, doubled with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause. A peer that serves again is called within it.
const MAX_PAUSE: Duration = Duration::from_millis(2_000);

/// What the end of a call tells of the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The peer served the call in time.
    Answered,
    /// The peer refused the call because too many wait.
    Overloaded,
    /// The peer answered later than one with little to do would, or not in time.
    Slow,
    /// Nothing.
    Unknown,
}

/// Number of calls of a class that may be in flight to a peer.
///
/// It grows while the peer answers and is halved when it does not, so that the callers of a peer that is overloaded
/// send it about as many calls as it serves. Callers that repeat all calls that are given up would keep it overloaded
/// for good.
#[derive(Clone, Debug)]
pub struct CallWindow {
    limit: usize,
    in_flight: usize,
    pause: Duration,
    /// Calls that began before it say nothing new.
    last_cut: Option<Instant>,
}

impl Default for CallWindow {
    fn default() -> Self {
        Self { limit: FIRST_LIMIT, in_flight: 0, pause: Duration::ZERO, last_cut: None }
    }
}

impl CallWindow {
    /// Takes the place of one call; false if all are taken.
    pub fn begin(&mut self) -> bool {
        let has_room = self.in_flight < self.limit;
        self.in_flight += usize::from(has_room);
        has_room
    }

    /// Number of calls that may be in flight.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Takes note of the end of a call that began at `begun`. Returns the pause before its place may be given back.
    pub fn record(&mut self, end: CallEnd, begun: Instant, now: Instant) -> Duration {
        match end {
            CallEnd::Unknown => Duration::ZERO,
            CallEnd::Answered => {
                self.pause = Duration::ZERO;
                if self.in_flight >= self.limit {
                    self.limit = (self.limit + 1).min(MAX_LIMIT);
                }
                Duration::ZERO
            }
            CallEnd::Slow => {
                if self.limit > SLOW_LIMIT {
                    self.cut(SLOW_LIMIT, begun, now);
                }
                Duration::ZERO
            }
            CallEnd::Overloaded => {
                if !self.cut(1, begun, now) || self.limit > 1 {
                    return Duration::ZERO;
                }
                self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
                self.pause
            }
        }
    }

    /// Gives the place of a call back.
    pub fn release(&mut self) {
        self.in_flight -= 1;
    }

    /// Halves the window, down to `least`; false for a call that says nothing new.
    fn cut(&mut self, least: usize, begun: Instant, now: Instant) -> bool {
        if self.last_cut.is_some_and(|last_cut| begun < last_cut) {
            return false;
        }
        self.limit = (self.limit.min(self.in_flight) / 2).max(least);
        self.last_cut = Some(now);
        true
    }
}
