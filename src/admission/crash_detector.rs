use crate::admission::Fingerprint;
use crate::membership::CrashRecord;

/// Losses of upstreams after which a request that was present at each is refused.
const CONVICTING_LOSSES: usize = 2;

/// How a request may run, as far as crashes of upstreams are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStanding {
    /// Beside other requests.
    Clear,
    /// Alone on an upstream, because it was present when one died.
    Suspect,
    /// Not at all until the verdict expires.
    Convicted {
        /// End of the verdict.
        expires_unix_ms: u64,
    },
}

/// Decides which requests crash upstreams. Holds no clock; its state is the record of a request,
/// which hosts exchange and merge in any order.
#[derive(Clone, Copy, Debug)]
pub struct CrashDetector {
    /// Time for which suspicions and verdicts hold.
    pub verdict_ms: u64,
}

impl CrashDetector {
    /// What follows from the record of a request.
    pub fn standing(record: Option<&CrashRecord>, now_unix_ms: u64) -> CrashStanding {
        let Some(record) = record.filter(|record| record.expires_unix_ms > now_unix_ms) else {
            return CrashStanding::Clear;
        };
        match record.open_losses() {
            0 => CrashStanding::Clear,
            losses if losses < CONVICTING_LOSSES => CrashStanding::Suspect,
            _ => CrashStanding::Convicted { expires_unix_ms: record.expires_unix_ms },
        }
    }

    /// The record after the request was in flight at an upstream that died. `loss` names the
    /// upstream and its incarnation, so that the same loss counts once.
    pub fn after_loss(
        &self,
        record: Option<&CrashRecord>,
        fingerprint: &Fingerprint,
        loss: &str,
        now_unix_ms: u64,
    ) -> CrashRecord {
        let live = record.filter(|record| record.expires_unix_ms > now_unix_ms);
        let mut after = live.cloned().unwrap_or_else(|| CrashRecord {
            fingerprint: fingerprint.as_bytes().to_vec(),
            ..CrashRecord::default()
        });
        after.upstream_ids.insert(loss.to_owned());
        after.losses = after.upstream_ids.len() as u32;
        after.convicted = after.open_losses() >= CONVICTING_LOSSES;
        after.expires_unix_ms = now_unix_ms + self.verdict_ms;
        after
    }

    /// The record after the request was answered in full, which clears it of the losses so far;
    /// `None` when nothing changes.
    pub fn after_finish(record: Option<&CrashRecord>) -> Option<CrashRecord> {
        let record = record.filter(|record| record.open_losses() > 0)?;
        let mut after = record.clone();
        after.cleared_ids.clone_from(&after.upstream_ids);
        Some(after)
    }
}
