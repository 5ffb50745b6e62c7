use std::collections::BTreeSet;
use std::sync::Arc;

use crate::admission::{CrashRecord, CrashRecords, Fingerprint, RequestFingerprints};

/// Losses after which a shared part is convicted. Sound parts of requests that wait for their first
/// token are present at a crash by chance, so two losses happen in a burst of unrelated crashes.
const PART_CONVICTION_LOSSES: usize = 3;
/// Losses after which a content is convicted although other contents explain most of them. The users'
/// rule on crashing parts expects a part to be known after its fifth crash, whatever else crashed.
const OWN_CONVICTION_LOSSES: usize = 5;

/// Whether a request may run, given the upstreams that were lost while it, or others that share its
/// parts, ran there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may share an upstream with other requests.
    Clear,
    /// An upstream was lost while running this very request.
    Suspect,
    /// The request is refused until the verdict expires.
    Convicted {
        /// Time at which the verdict expires.
        expires_unix_ms: u64,
        /// Number of lost upstreams that the verdict rests on.
        losses: usize,
        /// The content that is held to crash upstreams.
        fingerprint: Fingerprint,
    },
}

/// Decides which requests crash the upstreams that run them (poison requests). Callers pass the
/// time. The only state is the crash records; hosts exchange them and may merge them in any order.
#[derive(Clone, Copy, Debug)]
pub struct CrashDetector {
    /// Time after the last loss for which suspicions and verdicts are in force.
    pub verdict_ms: u64,
    /// Losses after which a whole request is convicted.
    pub request_conviction_losses: usize,
}

/// Contents that the same losses are attributed to. A request is convicted if it holds all of them.
struct Conviction<'a> {
    records: Vec<&'a CrashRecord>,
    losses: usize,
}

/// A record with enough losses for a conviction, and those losses that no conviction explains yet.
struct Candidate<'a> {
    record: &'a CrashRecord,
    unexplained: BTreeSet<&'a str>,
}

impl CrashDetector {
    /// Verdict on a request, given the crash records of all hosts.
    pub fn verdict(
        &self,
        request: &RequestFingerprints,
        records: &dyn CrashRecords,
        now_unix_ms: u64,
    ) -> CrashVerdict {
        let live = |record: &Arc<CrashRecord>| record.expires_unix_ms > now_unix_ms;
        let mut own = request.iter().filter_map(|(part, _)| records.find(part)).filter(live);
        if own.any(|record| self.may_convict(&record)) {
            let all: Vec<_> = records.all().into_iter().filter(live).collect();
            let convictions = self.convictions(&all);
            let holds = |record: &&CrashRecord| request.contains(&record.fingerprint);
            let held = convictions.iter().find(|found| found.records.iter().all(holds));
            if let Some(Conviction { records, losses }) = held {
                let expiries = records.iter().map(|record| record.expires_unix_ms);
                let expires_unix_ms = expiries.max().unwrap_or(now_unix_ms);
                let convicted = request
                    .iter()
                    .map(|(own, _)| *own)
                    .find(|own| records.iter().any(|record| record.fingerprint == own.as_bytes()));
                let fingerprint = convicted.unwrap_or_default();
                return CrashVerdict::Convicted { expires_unix_ms, losses: *losses, fingerprint };
            }
        }
        let suspicion = records.find(&request.request).filter(live);
        match suspicion.is_some_and(|record| record.uncleared_losses() > 0) {
            true => CrashVerdict::Suspect,
            false => CrashVerdict::Clear,
        }
    }

    fn conviction_losses(&self, record: &CrashRecord) -> usize {
        if record.is_part {
            return PART_CONVICTION_LOSSES;
        }
        self.request_conviction_losses
    }

    fn may_convict(&self, record: &CrashRecord) -> bool {
        record.uncleared_losses() >= self.conviction_losses(record)
    }

    /// Attributes each loss to the contents that explain most losses, so that a sound part is not
    /// convicted for the losses of a crashing part beside it. Contents with the same losses can't be
    /// told apart and are convicted together. A content that has many losses itself is convicted too:
    /// a sound part beside it explains more than it does, if it was also present at unrelated crashes.
    fn convictions<'a>(&self, records: &'a [Arc<CrashRecord>]) -> Vec<Conviction<'a>> {
        let suspects = records.iter().filter(|record| self.may_convict(record));
        let mut candidates: Vec<Candidate<'a>> = suspects
            .map(|record| Candidate { record, unexplained: record.uncleared_ids().collect() })
            .collect();
        let mut convictions = Self::own_convictions(&candidates);
        while let Some(most) = candidates.iter().max_by_key(|other| other.unexplained.len()) {
            let explained = most.unexplained.clone();
            let same = candidates.iter().filter(|other| other.unexplained == explained);
            let records = same.map(|candidate| candidate.record).collect();
            convictions.push(Conviction { records, losses: explained.len() });
            for candidate in &mut candidates {
                candidate.unexplained.retain(|loss| !explained.contains(loss));
            }
            candidates.retain(|left| left.unexplained.len() >= self.conviction_losses(left.record));
        }
        convictions
    }

    /// Contents with [`OWN_CONVICTION_LOSSES`], unless another content was present at all of their
    /// losses and at further ones. None of the losses of the candidates may be explained yet.
    fn own_convictions<'a>(candidates: &[Candidate<'a>]) -> Vec<Conviction<'a>> {
        let mut convictions = Vec::new();
        for Candidate { unexplained: losses, .. } in candidates {
            if losses.len() < OWN_CONVICTION_LOSSES {
                continue;
            }
            let contains = |other: &Candidate<'a>| other.unexplained.is_superset(losses);
            let holders = candidates.iter().filter(|other| contains(other));
            if holders.clone().any(|other| other.unexplained.len() > losses.len()) {
                continue;
            }
            let records = holders.map(|holder| holder.record).collect();
            convictions.push(Conviction { records, losses: losses.len() });
        }
        convictions
    }

    /// Record of a content after the loss of an upstream that was running it. `loss` names the
    /// upstream and its incarnation, so that the same loss is counted once.
    pub fn after_loss(
        &self,
        record: Option<&CrashRecord>,
        fingerprint: &Fingerprint,
        is_part: bool,
        loss: &str,
        now_unix_ms: u64,
    ) -> CrashRecord {
        let live = record.filter(|record| record.expires_unix_ms > now_unix_ms);
        let mut after = live.cloned().unwrap_or_else(|| CrashRecord {
            fingerprint: fingerprint.as_bytes().to_vec(),
            is_part,
            ..CrashRecord::default()
        });
        after.upstream_ids.insert(loss.to_owned());
        after.losses = after.upstream_ids.len() as u32;
        after.expires_unix_ms = now_unix_ms + self.verdict_ms;
        after
    }

    /// Record of a content after it ran without a crash, which clears the losses recorded so far.
    /// `None` when the record has no open losses.
    pub fn after_run(record: Option<&CrashRecord>) -> Option<CrashRecord> {
        let record = record.filter(|record| record.uncleared_losses() > 0)?;
        let mut after = record.clone();
        after.cleared_ids.clone_from(&after.upstream_ids);
        Some(after)
    }
}
