use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::state::bodies::Bodies;
use crate::state::claim::{Claim, ClaimPhase, RecordedAnswer};
use crate::state::claim_pages::ClaimPages;
use crate::state::command::{NewAnswer, NewClaim};
use crate::state::outcome::{ClaimStatus, ClaimTaken, Outcome};
use crate::state::refusal::Refusal;

/// Bounds the memory for interned content types, since callers choose their values.
const MAX_INTERNED_CONTENT_TYPES: usize = 64;

/// Claims and recorded answers of online requests, by record number.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    records: ClaimPages,
    customers: BTreeMap<Arc<str>, CustomerClaims>,
    expirations: BTreeSet<(u64, u64)>,
    interned_content_types: BTreeSet<Arc<str>>,
    /// Number of the latest record.
    last_number: u64,
}

#[derive(Debug, Default)]
struct CustomerClaims {
    by_key: HashMap<Arc<str>, u64>,
    by_request: HashMap<Arc<str>, u64>,
}

impl Claims {
    pub(crate) fn restored(last_number: u64) -> Self {
        Self { last_number, ..Self::default() }
    }

    /// Acquires the claim on a key, or reports the status of the request that holds it.
    ///
    /// A claim whose lease has expired is taken over, unless its request or the new one is not
    /// repeatable. Refused for a different request under the same key.
    pub(crate) fn acquire(
        &mut self,
        new: NewClaim,
        now: u64,
        retention_ms: u64,
        storage_full: bool,
    ) -> Result<Outcome, Refusal> {
        let found = self.find_for_request(&new.customer, &new.key, &new.request_id);
        let Some((number, claim)) = found else {
            if storage_full {
                return Err(Refusal::storage_full("storage is full; the claim was not taken"));
            }
            return Ok(self.insert_held(new, now, retention_ms));
        };
        if claim.fingerprint != new.fingerprint {
            return Err(key_conflict(&new.key, claim));
        }
        let same_holder = *claim.request_id == *new.request_id
            && claim.holder().is_some_and(|holder| *holder == new.holder);
        let status = claim.status(now);
        let may_acquire = match status {
            ClaimStatus::Running => same_holder,
            ClaimStatus::Free => !new.not_repeatable,
            _ => false,
        };
        if may_acquire {
            let not_repeatable = claim.not_repeatable || new.not_repeatable;
            self.remove(number);
            return Ok(self.insert_held(NewClaim { not_repeatable, ..new }, now, retention_ms));
        }
        // An expired claim that this request may not take over counts as unknown.
        let status = if status == ClaimStatus::Free { ClaimStatus::Unknown } else { status };
        Ok(Outcome::ClaimTaken(ClaimTaken {
            status,
            request_id: claim.request_id.clone(),
            holder: claim.holder().map_or_else(|| "".into(), |holder| holder.host_id.clone()),
            answer_number: if status == ClaimStatus::Answered { number } else { 0 },
        }))
    }

    fn insert_held(&mut self, new: NewClaim, now: u64, retention_ms: u64) -> Outcome {
        let lease_expires_unix_ms = now + u64::from(new.lease_ms);
        let request_id: Arc<str> = new.request_id.into();
        let holder = new.holder.host_id.clone();
        self.append(Claim {
            customer: new.customer.into(),
            key: new.key.into(),
            fingerprint: new.fingerprint,
            request_id: request_id.clone(),
            not_repeatable: new.not_repeatable,
            phase: ClaimPhase::Held { holder: new.holder, lease_expires_unix_ms },
            expires_unix_ms: lease_expires_unix_ms + retention_ms,
        });
        Outcome::ClaimTaken(ClaimTaken {
            status: ClaimStatus::Held,
            request_id,
            holder,
            answer_number: 0,
        })
    }

    /// Records the answer of a request. The first answer recorded under a key or request id is
    /// final.
    pub(crate) fn record_answer(
        &mut self,
        new: NewAnswer,
        now: u64,
        retention_ms: u64,
        bodies: &Bodies,
    ) -> Result<Outcome, Refusal> {
        let found = self.find_for_request(&new.customer, &new.key, &new.request_id);
        let mut key: Arc<str> = new.key.as_str().into();
        if let Some((number, claim)) = found {
            if claim.fingerprint != new.fingerprint {
                return Err(key_conflict(&new.key, claim));
            }
            if claim.answer().is_some() {
                return Ok(Outcome::AnswerRecorded { existed: true });
            }
            if claim.not_repeatable && *claim.request_id != *new.request_id {
                return Err(key_conflict(&new.key, claim));
            }
            if key.is_empty() {
                key = claim.key.clone();
            }
            self.remove(number);
        }
        let answer = RecordedAnswer {
            status: new.status,
            content_type: new.content_type.into(),
            recorded_at_unix_ms: now,
            body: bodies.append(&new.body),
        };
        self.append(Claim {
            customer: new.customer.into(),
            key,
            fingerprint: new.fingerprint,
            request_id: new.request_id.into(),
            not_repeatable: false,
            phase: ClaimPhase::Answered(answer),
            expires_unix_ms: now + retention_ms,
        });
        Ok(Outcome::AnswerRecorded { existed: false })
    }

    /// Settles a claim without an answer; only the request that holds the claim may do so.
    ///
    /// Frees the key if the request did not run or is repeatable, otherwise marks the outcome as
    /// unknown.
    pub(crate) fn settle(
        &mut self,
        customer: &str,
        key: &str,
        request_id: &str,
        not_run: bool,
    ) -> Result<Outcome, Refusal> {
        let own = self
            .by_key(customer, key)
            .filter(|(_, claim)| *claim.request_id == *request_id)
            .ok_or_else(|| {
                Refusal::not_found(format!("request {request_id} has no claim under key {key:?}"))
            })?;
        let (number, claim) = own;
        if claim.answer().is_some() {
            return Ok(Outcome::ClaimSettled(ClaimStatus::Answered));
        }
        if not_run || !claim.not_repeatable {
            self.remove(number);
            return Ok(Outcome::ClaimSettled(ClaimStatus::Free));
        }
        if let Some(holder) = claim.holder().cloned() {
            let unknown = Claim { phase: ClaimPhase::Unknown { holder }, ..claim.clone() };
            self.records.set(number, unknown);
        }
        Ok(Outcome::ClaimSettled(ClaimStatus::Unknown))
    }

    /// Removes up to `limit` expired records.
    pub(crate) fn expire(&mut self, now: u64, limit: usize, bodies: &Bodies) {
        for _ in 0..limit {
            match self.expirations.first() {
                Some((expires, number)) if *expires <= now => {
                    let number = *number;
                    if let Some(answer) = self.remove(number).as_ref().and_then(|c| c.answer()) {
                        bodies.release(answer.body);
                    }
                }
                _ => return,
            }
        }
    }

    pub(crate) fn get(&self, number: u64) -> Option<&Claim> {
        self.records.get(number)
    }

    /// The record under a key; none for the empty key.
    pub(crate) fn by_key(&self, customer: &str, key: &str) -> Option<(u64, &Claim)> {
        if key.is_empty() {
            return None;
        }
        let number = *self.customers.get(customer)?.by_key.get(key)?;
        Some((number, self.get(number)?))
    }

    pub(crate) fn by_request(&self, customer: &str, request_id: &str) -> Option<(u64, &Claim)> {
        let number = *self.customers.get(customer)?.by_request.get(request_id)?;
        Some((number, self.get(number)?))
    }

    /// The record that applies to a request: its own recorded answer, otherwise the record under
    /// its key, otherwise its own record.
    fn find_for_request(
        &self,
        customer: &str,
        key: &str,
        request_id: &str,
    ) -> Option<(u64, &Claim)> {
        let own = self.by_request(customer, request_id);
        match own {
            Some((_, claim)) if claim.answer().is_some() => own,
            _ => self.by_key(customer, key).or(own),
        }
    }

    fn append(&mut self, claim: Claim) {
        self.insert(self.last_number + 1, claim);
    }

    /// Adds a record under its number and to all indexes.
    pub(crate) fn insert(&mut self, number: u64, mut claim: Claim) {
        self.last_number = self.last_number.max(number);
        if let Some((name, _)) = self.customers.get_key_value(&claim.customer) {
            claim.customer = name.clone();
        }
        if let ClaimPhase::Answered(answer) = &mut claim.phase {
            answer.content_type = self.intern_content_type(&answer.content_type);
        }
        let customer = self.customers.entry(claim.customer.clone()).or_default();
        if !claim.key.is_empty() {
            customer.by_key.insert(claim.key.clone(), number);
        }
        customer.by_request.insert(claim.request_id.clone(), number);
        self.expirations.insert((claim.expires_unix_ms, number));
        self.records.set(number, claim);
    }

    /// Shares one copy of a content type between all answers that have it.
    fn intern_content_type(&mut self, content_type: &Arc<str>) -> Arc<str> {
        if let Some(shared) = self.interned_content_types.get(content_type) {
            return shared.clone();
        }
        if self.interned_content_types.len() < MAX_INTERNED_CONTENT_TYPES {
            self.interned_content_types.insert(content_type.clone());
        }
        content_type.clone()
    }

    fn remove(&mut self, number: u64) -> Option<Claim> {
        let claim = self.records.remove(number)?;
        self.expirations.remove(&(claim.expires_unix_ms, number));
        if let Some(customer) = self.customers.get_mut(&claim.customer) {
            // The key or the request id may belong to a later record.
            remove_entry(&mut customer.by_key, &claim.key, number);
            remove_entry(&mut customer.by_request, &claim.request_id, number);
            if customer.by_request.is_empty() && customer.by_key.is_empty() {
                self.customers.remove(&claim.customer);
            }
        }
        Some(claim)
    }

    pub(crate) fn last_number(&self) -> u64 {
        self.last_number
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &Claim)> {
        self.records.iter()
    }

    /// A copy-on-write copy of all records.
    pub(crate) fn freeze(&self) -> ClaimPages {
        self.records.clone()
    }
}

fn key_conflict(key: &str, claim: &Claim) -> Refusal {
    let request_id = &claim.request_id;
    Refusal::key_conflict(format!("key {key:?} belongs to request {request_id}"))
}

fn remove_entry(index: &mut HashMap<Arc<str>, u64>, name: &str, number: u64) {
    if index.get(name) == Some(&number) {
        index.remove(name);
    }
}
