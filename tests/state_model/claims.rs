use damaskhoist::schema::state::outcome::Outcome;
use damaskhoist::schema::state::*;

use super::{refuse, Model, ANSWER_RETENTION_MS};

#[derive(Clone, Default)]
pub struct ClaimModel {
    pub customer: String,
    pub key: String,
    pub fingerprint: Vec<u8>,
    pub request_id: String,
    pub holder: (String, u64),
    pub lease_expires: u64,
    pub not_repeatable: bool,
    pub is_unknown: bool,
    pub answer: Option<Answer>,
    pub expires: u64,
}

impl Model {
    fn claim_place(&self, customer: &str, key: &str) -> Option<usize> {
        self.claims
            .iter()
            .position(|claim| !key.is_empty() && claim.customer == customer && claim.key == key)
    }

    /// The request's own answer, else the record under the key, else the request's own record.
    fn deciding_place(&self, customer: &str, key: &str, request_id: &str) -> Option<usize> {
        let own = self
            .claims
            .iter()
            .position(|claim| claim.customer == customer && claim.request_id == request_id);
        let answered = own.filter(|place| self.claims[*place].answer.is_some());
        answered.or_else(|| self.claim_place(customer, key)).or(own)
    }

    pub(super) fn take_claim(&mut self, take: &TakeClaim) -> Outcome {
        let holder = (take.holder.clone(), take.holder_incarnation);
        let mut not_repeatable = take.not_repeatable;
        let place = self.deciding_place(&take.customer, &take.key, &take.request_id);
        if let Some(place) = place {
            let claim = &self.claims[place];
            if claim.fingerprint != take.fingerprint {
                return refuse(RefusalCode::KeyConflict);
            }
            let lapsed = claim.lease_expires <= self.now;
            let own = claim.request_id == take.request_id && claim.holder == holder;
            let once = claim.not_repeatable || take.not_repeatable;
            let status = match &claim.answer {
                Some(_) => ClaimStatus::Answered,
                None if claim.is_unknown || lapsed && once => ClaimStatus::Unknown,
                None if !lapsed && !own => ClaimStatus::Running,
                None => ClaimStatus::Held,
            };
            if status != ClaimStatus::Held {
                return Outcome::ClaimTaken(ClaimTaken {
                    status: status.into(),
                    request_id: claim.request_id.clone(),
                    holder: claim.holder.0.clone(),
                    answer: claim.answer.clone(),
                });
            }
            not_repeatable = once;
            self.claims.remove(place);
        }
        let lease_expires = self.now + u64::from(take.lease_ms);
        self.claims.push(ClaimModel {
            customer: take.customer.clone(),
            key: take.key.clone(),
            fingerprint: take.fingerprint.to_vec(),
            request_id: take.request_id.clone(),
            holder,
            lease_expires,
            not_repeatable,
            expires: lease_expires + ANSWER_RETENTION_MS,
            ..ClaimModel::default()
        });
        Outcome::ClaimTaken(ClaimTaken {
            status: ClaimStatus::Held.into(),
            request_id: take.request_id.clone(),
            holder: take.holder.clone(),
            answer: None,
        })
    }

    pub(super) fn record_answer(&mut self, record: &RecordAnswer) -> Outcome {
        let place = self.deciding_place(&record.customer, &record.key, &record.request_id);
        let mut key = record.key.clone();
        if let Some(place) = place {
            let claim = &self.claims[place];
            if claim.fingerprint != record.fingerprint {
                return refuse(RefusalCode::KeyConflict);
            }
            if claim.answer.is_some() {
                return Outcome::AnswerRecorded(AnswerRecorded { existed: true });
            }
            if claim.not_repeatable && claim.request_id != record.request_id {
                return refuse(RefusalCode::KeyConflict);
            }
            let claim = self.claims.remove(place);
            if key.is_empty() {
                key = claim.key;
            }
        }
        self.claims.push(ClaimModel {
            customer: record.customer.clone(),
            key,
            fingerprint: record.fingerprint.to_vec(),
            request_id: record.request_id.clone(),
            answer: Some(Answer {
                request_id: record.request_id.clone(),
                status: record.status,
                content_type: record.content_type.clone(),
                body: record.body.clone(),
                recorded_at_unix_ms: self.now,
            }),
            expires: self.now + ANSWER_RETENTION_MS,
            ..ClaimModel::default()
        });
        Outcome::AnswerRecorded(AnswerRecorded { existed: false })
    }

    pub(super) fn settle_claim(&mut self, settle: &SettleClaim) -> Outcome {
        let settled =
            |status: ClaimStatus| Outcome::ClaimSettled(ClaimSettled { status: status.into() });
        let place = self.claim_place(&settle.customer, &settle.key);
        let Some(place) = place.filter(|place| self.claims[*place].request_id == settle.request_id)
        else {
            return refuse(RefusalCode::NotFound);
        };
        let claim = &mut self.claims[place];
        if claim.answer.is_some() {
            return settled(ClaimStatus::Answered);
        }
        if settle.not_run || !claim.not_repeatable {
            self.claims.remove(place);
            return settled(ClaimStatus::Free);
        }
        claim.is_unknown = true;
        settled(ClaimStatus::Unknown)
    }
}
