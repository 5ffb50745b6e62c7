use std::time::{Duration, Instant};

use crate::cmd::job_status::JobStatus;

/// Weight of the newest rate in the moving average.
const RATE_WEIGHT: f64 = 0.3;

/// Progress of a job: rate and time left from a moving average.
pub(super) struct Progress {
    seen_at: Option<Instant>,
    done: u64,
    rate_per_s: Option<f64>,
}

impl Progress {
    pub(super) fn new() -> Self {
        Self { seen_at: None, done: 0, rate_per_s: None }
    }

    /// Takes in a state of the job and returns the line to show.
    pub(super) fn line(&mut self, job: &JobStatus, now: Instant) -> String {
        self.observe(job.done(), now);
        let JobStatus { id, status, total, failed, .. } = job;
        let mut line = format!("job {id} {status}: {}/{total} done, {failed} failed", job.done());
        let Some(rate) = self.rate_per_s.filter(|_| !job.is_over()) else { return line };
        line.push_str(&format!(", {rate:.1}/s"));
        if rate > 0.0 {
            let left = total.saturating_sub(job.done()) as f64 / rate;
            line.push_str(&format!(", {} left", clock(left)));
        }
        line
    }

    fn observe(&mut self, done: u64, now: Instant) {
        let Some(before) = self.seen_at.replace(now) else {
            self.done = done;
            return;
        };
        let elapsed = now.duration_since(before).max(Duration::from_millis(1)).as_secs_f64();
        let newest = done.saturating_sub(self.done) as f64 / elapsed;
        self.done = done;
        self.rate_per_s = match self.rate_per_s {
            Some(rate) => Some(rate + (newest - rate) * RATE_WEIGHT),
            None => Some(newest),
        };
    }
}

fn clock(seconds: f64) -> String {
    let seconds = seconds.min(u32::MAX.into()) as u64;
    match seconds {
        0..=99 => format!("{seconds} s"),
        100..=5_999 => format!("{} min", seconds.div_ceil(60)),
        _ => format!("{} h {} min", seconds / 3_600, seconds % 3_600 / 60),
    }
}
