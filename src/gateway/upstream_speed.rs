use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::schema::peer::UpstreamSpeed as WireSpeed;

/// Slowdown of an upstream that works as usual, in percent.
const USUAL_PERCENT: u32 = 100;
/// Bounds of a slowdown that is believed, in percent.
const BELIEVED_PERCENT: std::ops::RangeInclusive<u32> = 20..=1_000;

/// How long work takes at an upstream, as its answers tell: the lasting figure that the leader works out of what all hosts
/// hear, and what this host heard since its last report. Lock-free.
#[derive(Debug, Default)]
pub(super) struct UpstreamSpeed {
    /// 0 while it is not known.
    lasting_percent: AtomicU32,
    /// Sum of the figures in the upper half, and their number in the lower one.
    heard: AtomicU64,
}

impl UpstreamSpeed {
    /// Time that work takes in comparison with the usual.
    pub(super) fn slowdown(&self) -> f32 {
        match self.lasting_percent.load(Ordering::Relaxed) {
            0 => 1.0,
            percent => percent as f32 / USUAL_PERCENT as f32,
        }
    }

    /// Sets the lasting figure.
    pub(super) fn set_lasting(&self, percent: u32) {
        self.lasting_percent.store(percent, Ordering::Relaxed);
    }

    /// Adds a figure that an answer told.
    pub(super) fn record(&self, percent: u32) {
        let percent = percent.clamp(*BELIEVED_PERCENT.start(), *BELIEVED_PERCENT.end());
        self.heard.fetch_add((u64::from(percent) << 32) + 1, Ordering::Relaxed);
    }

    /// Takes what was heard since the last report; `None` if that is nothing.
    pub(super) fn take_report(&self, upstream_id: &str) -> Option<WireSpeed> {
        let heard = self.heard.swap(0, Ordering::Relaxed);
        let (sum, samples) = (heard >> 32, heard & 0xffff_ffff);
        (samples > 0).then(|| WireSpeed {
            upstream_id: upstream_id.to_owned(),
            slowdown_percent: (sum / samples) as u32,
            samples: samples as u32,
        })
    }
}
