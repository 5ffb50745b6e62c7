//! The clock of the ages that other hosts rely on.

use std::time::Duration;

use damaskhoist::boot_instant::BootInstant;

/// Guards against a clock that stands still in suspensions; only a machine that was suspended shows the difference.
#[test]
fn the_clock_counts_the_time_since_the_start_of_the_machine() {
    let before = BootInstant::now();
    let uptime = std::fs::read_to_string("/proc/uptime").unwrap();
    let uptime_s: f64 = uptime.split(' ').next().unwrap().parse().unwrap();
    let uptime = Duration::from_secs_f64(uptime_s);
    // The file has hundredths of a second.
    let step = Duration::from_millis(10);
    assert!(before.since_boot() <= uptime + step, "{before:?}, {uptime:?}");
    assert!(uptime <= BootInstant::now().since_boot() + step, "{before:?}, {uptime:?}");
}
