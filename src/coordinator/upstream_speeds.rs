use std::collections::HashMap;

use crate::schema::peer::UpstreamSpeed;

/// Answers over which the lasting speed is averaged. An upstream is disturbed for less than a second at a time and gives
/// several answers a second, so disturbances even out.
const AVERAGED_ANSWERS: f64 = 60.0;
/// Answers from which on a speed is told.
const LEAST_ANSWERS: f64 = 5.0;
/// Step in which speeds are told, so that small changes cost no message.
const STEP_PERCENT: f64 = 10.0;

/// Lasting speeds of the upstreams, from what they tell all entry hosts in their answers. Only the leader keeps them.
///
/// Answers the load of upstreams that differ in speed. The figure in an answer changes many times a second, and is older
/// than that when another host gets to know it; only its average says which upstream to prefer.
#[derive(Debug, Default)]
pub struct UpstreamSpeeds {
    /// Revision of the last change. Revisions of different terms differ.
    revision: u64,
    upstreams: HashMap<String, AveragedSpeed>,
}

#[derive(Debug)]
struct AveragedSpeed {
    percent: f64,
    answers: f64,
    /// The speed as it is told, and the revision at which it changed.
    told: Option<(u32, u64)>,
}

impl UpstreamSpeeds {
    /// Creates the speeds of a term. `base_revision` must be above all revisions of earlier terms.
    pub fn open(base_revision: u64) -> Self {
        Self { revision: base_revision, upstreams: HashMap::new() }
    }

    /// Adds what answers told an entry host.
    pub fn record(&mut self, speeds: &[UpstreamSpeed]) {
        for speed in speeds {
            let known = self.upstreams.entry(speed.upstream_id.clone());
            let known = known.or_insert(AveragedSpeed { percent: 0.0, answers: 0.0, told: None });
            let samples = f64::from(speed.samples);
            known.answers = (known.answers + samples).min(AVERAGED_ANSWERS.max(samples));
            let part = samples / known.answers.max(1.0);
            known.percent += (f64::from(speed.slowdown_percent) - known.percent) * part;
            if known.answers < LEAST_ANSWERS {
                continue;
            }
            let rounded = (known.percent / STEP_PERCENT).round() * STEP_PERCENT;
            let told = known.told.map_or(0.0, |(percent, _)| f64::from(percent));
            // A speed between two steps is not told again and again.
            if (known.percent - told).abs() > STEP_PERCENT * 0.75 {
                self.revision += 1;
                known.told = Some((rounded.max(STEP_PERCENT) as u32, self.revision));
            }
        }
    }

    /// The speeds that changed after a revision, and the revision to ask from next time.
    pub fn changes_since(&self, revision: u64) -> (Vec<UpstreamSpeed>, u64) {
        let changed = self.upstreams.iter().filter_map(|(id, speed)| {
            let (slowdown_percent, at) = speed.told?;
            (at > revision).then(|| UpstreamSpeed {
                upstream_id: id.clone(),
                slowdown_percent,
                samples: 0,
            })
        });
        (changed.collect(), self.revision)
    }

    /// Time that work takes at an upstream in comparison with the usual; 1 while it is not known.
    pub fn slowdown(&self, upstream_id: &str) -> f64 {
        let told = self.upstreams.get(upstream_id).and_then(|speed| speed.told);
        told.map_or(1.0, |(percent, _)| f64::from(percent) / 100.0)
    }

    /// Forgets upstreams for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.upstreams.retain(|id, _| is_known(id));
    }
}
