//! Points in time for ages that other hosts rely on.

use std::ops::{Add, Sub};
use std::time::Duration;

use rustix::time::{clock_gettime, clock_gettime_dynamic, ClockId, DynamicClockId};

/// A point in time on a clock that goes on while the machine is suspended, unlike that of [`std::time::Instant`].
/// What a host knew before a suspension is older afterwards by its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant {
    since_boot: Duration,
}

impl BootInstant {
    /// The present time; on the monotonic clock where the machine has no clock that counts suspensions.
    pub fn now() -> Self {
        let boot_time = clock_gettime_dynamic(DynamicClockId::Boottime);
        let time = boot_time.unwrap_or_else(|_| clock_gettime(ClockId::Monotonic));
        Self { since_boot: Duration::try_from(time).unwrap_or_default() }
    }

    /// Time since the machine started.
    pub fn since_boot(self) -> Duration {
        self.since_boot
    }

    /// Time since this point.
    pub fn elapsed(self) -> Duration {
        Self::now() - self
    }

    /// The point in time that is earlier by `duration`; `None` before the start of the machine.
    pub fn checked_sub(self, duration: Duration) -> Option<Self> {
        Some(Self { since_boot: self.since_boot.checked_sub(duration)? })
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self { since_boot: self.since_boot.saturating_add(duration) }
    }
}

/// Time since an earlier point; zero if that is later.
impl Sub for BootInstant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since_boot.saturating_sub(earlier.since_boot)
    }
}
