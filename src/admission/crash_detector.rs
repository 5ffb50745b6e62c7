use crate::admission::Fingerprint;
use crate::membership::CrashRecord;

/// Number of lost upstreams after which a request that was in flight at each of them is refused.
const CONVICTION_THRESHOLD: usize = 2;

/// Whether a request may run, given the upstreams that were lost while they ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may share an upstream with other requests.
    Clear,
    /// The request must run alone on an upstream, because an upstream was lost while running it.
    Suspect,
    /// The request is refused until the verdict expires.
    Convicted {
        /// Time at which the verdict expires.
        expires_unix_ms: u64,
    },
}

/// Decides which requests crash the upstreams that run them (poison requests). Callers pass the
/// time. The only state is the crash record of a request; hosts exchange these records and may
/// merge them in any order.
#[derive(Clone, Copy, Debug)]
pub struct CrashDetector {
    /// Time after the last loss for which suspicions and verdicts are in force.
    pub verdict_ms: u64,
}

impl CrashDetector {
    /// Verdict on a request, given its crash record.
    pub fn verdict(record: Option<&CrashRecord>, now_unix_ms: u64) -> CrashVerdict {
        let Some(record) = record.filter(|record| record.expires_unix_ms > now_unix_ms) else {
            return CrashVerdict::Clear;
        };
        match record.uncleared_losses() {
            0 => CrashVerdict::Clear,
            losses if losses < CONVICTION_THRESHOLD => CrashVerdict::Suspect,
            _ => CrashVerdict::Convicted { expires_unix_ms: record.expires_unix_ms },
        }
    }

    /// Record of a request after the loss of an upstream that was running it. `loss` names the
    /// upstream and its incarnation, so that the same loss is counted once.
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
        after.convicted = after.uncleared_losses() >= CONVICTION_THRESHOLD;
        after.expires_unix_ms = now_unix_ms + self.verdict_ms;
        after
    }

    /// Record of a request after a complete answer, which clears the losses recorded so far. `None`
    /// when the record has no open losses.
    pub fn after_finish(record: Option<&CrashRecord>) -> Option<CrashRecord> {
        let record = record.filter(|record| record.uncleared_losses() > 0)?;
        let mut after = record.clone();
        after.cleared_ids.clone_from(&after.upstream_ids);
        Some(after)
    }
}
