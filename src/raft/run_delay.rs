use std::collections::VecDeque;

/// Measures how much later than its timers a replica runs.
#[derive(Clone, Debug, Default)]
pub struct RunDelay {
    /// Since when a timer has been running without a break; `None` if none was at the last call.
    timer_since_ms: Option<u64>,
    /// Delay of the present call.
    current_ms: u64,
    /// End and length of the delays in the window, without those that a later one exceeds.
    longest: VecDeque<(u64, u64)>,
}

impl RunDelay {
    /// Records a call at `now_ms`, when the timer was due at `due_ms`.
    pub fn record(&mut self, now_ms: u64, due_ms: Option<u64>, window_ms: u64) {
        let due = due_ms.zip(self.timer_since_ms);
        self.current_ms =
            due.map_or(0, |(due_ms, since_ms)| now_ms.saturating_sub(due_ms.max(since_ms)));
        while self.longest.front().is_some_and(|(ended_ms, _)| ended_ms + window_ms < now_ms) {
            self.longest.pop_front();
        }
        while self.longest.back().is_some_and(|(_, delay_ms)| *delay_ms <= self.current_ms) {
            self.longest.pop_back();
        }
        if self.current_ms > 0 {
            self.longest.push_back((now_ms, self.current_ms));
        }
    }

    /// Records whether a timer runs after a call.
    pub fn observe_timer(&mut self, now_ms: u64, is_running: bool) {
        self.timer_since_ms = is_running.then(|| self.timer_since_ms.unwrap_or(now_ms));
    }

    /// Delay of the present call.
    pub fn current_ms(&self) -> u64 {
        self.current_ms
    }

    /// Longest delay in the window that ended at or after `since_ms`.
    pub fn longest_since(&self, since_ms: u64) -> u64 {
        let delay = self.longest.iter().find(|(ended_ms, _)| *ended_ms >= since_ms);
        delay.map_or(0, |(_, delay_ms)| *delay_ms)
    }
}
