use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::state::bodies::Bodies;
use crate::state::claim::{Claim, ClaimPhase, RecordedAnswer};
use crate::state::claim_pages::ClaimPages;
use crate::state::command::{NewAnswer, NewClaim};
use crate::state::outcome::{ClaimStatus, ClaimTaken, Outcome};
use crate::state::refusal::Refusal;

/// Callers choose content types, so only the first ones are shared.
const CONTENT_TYPES_SHARED: usize = 64;

/// Claims and recorded answers of online requests.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    records: ClaimPages,
    customers: BTreeMap<Arc<str>, CustomerClaims>,
    ends: BTreeSet<(u64, u64)>,
    content_types: BTreeSet<Arc<str>>,
    /// Number of the newest record.
    last: u64,
}

#[derive(Debug, Default)]
struct CustomerClaims {
    by_key: HashMap<Arc<str>, u64>,
    by_request: HashMap<Arc<str>, u64>,
}

impl Claims {
    pub(crate) fn restored(last: u64) -> Self {
        Self { last, ..Self::default() }
    }

    /// Takes the claim of a key, or says what became of the request that has it.
    pub(crate) fn take(
        &mut self,
        new: NewClaim,
        now: u64,
        retention_ms: u64,
        full: bool,
    ) -> Result<Outcome, Refusal> {
        let found = self.find(&new.customer, &new.key, &new.request_id);
        let Some((number, claim)) = found else {
            if full {
                return Err(Refusal::storage_full("storage is full; the claim was not taken"));
            }
            return Ok(self.hold(new, now, retention_ms));
        };
        if claim.fingerprint != new.fingerprint {
            return Err(other_request(&new.key, claim));
        }
        let same_holder = *claim.request_id == *new.request_id
            && claim.holder().is_some_and(|holder| *holder == new.holder);
        let status = claim.status(now);
        let free = match status {
            ClaimStatus::Running => same_holder,
            ClaimStatus::Free => !new.not_repeatable,
            _ => false,
        };
        if free {
            let not_repeatable = claim.not_repeatable || new.not_repeatable;
            self.remove(number);
            return Ok(self.hold(NewClaim { not_repeatable, ..new }, now, retention_ms));
        }
        // A lapsed claim that this request may not take over counts as unknown.
        let status = if status == ClaimStatus::Free { ClaimStatus::Unknown } else { status };
        Ok(Outcome::ClaimTaken(ClaimTaken {
            status,
            request_id: claim.request_id.clone(),
            holder: claim.holder().map_or_else(|| "".into(), |holder| holder.host_id.clone()),
            record: if status == ClaimStatus::Answered { number } else { 0 },
        }))
    }

    fn hold(&mut self, new: NewClaim, now: u64, retention_ms: u64) -> Outcome {
        let lease_expires_unix_ms = now + u64::from(new.lease_ms);
        let request_id: Arc<str> = new.request_id.into();
        let holder = new.holder.host_id.clone();
        self.add(Claim {
            customer: new.customer.into(),
            key: new.key.into(),
            fingerprint: new.fingerprint,
            request_id: request_id.clone(),
            not_repeatable: new.not_repeatable,
            phase: ClaimPhase::Held { holder: new.holder, lease_expires_unix_ms },
            expires_unix_ms: lease_expires_unix_ms + retention_ms,
        });
        Outcome::ClaimTaken(ClaimTaken { status: ClaimStatus::Held, request_id, holder, record: 0 })
    }

    /// Records an answer. The first one under a key or request stays the answer.
    pub(crate) fn record(
        &mut self,
        new: NewAnswer,
        now: u64,
        retention_ms: u64,
        bodies: &Bodies,
    ) -> Result<Outcome, Refusal> {
        let found = self.find(&new.customer, &new.key, &new.request_id);
        let mut key: Arc<str> = new.key.as_str().into();
        if let Some((number, claim)) = found {
            if claim.fingerprint != new.fingerprint {
                return Err(other_request(&new.key, claim));
            }
            if claim.answer().is_some() {
                return Ok(Outcome::AnswerRecorded { existed: true });
            }
            if claim.not_repeatable && *claim.request_id != *new.request_id {
                return Err(other_request(&new.key, claim));
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
        self.add(Claim {
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

    /// Settles a claim without an answer, for its own request only.
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

    /// Removes up to `limit` records whose time is over.
    pub(crate) fn expire(&mut self, now: u64, limit: usize, bodies: &Bodies) {
        for _ in 0..limit {
            match self.ends.first() {
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

    /// The record that decides on a request: its own answer, else the record under its key.
    fn find(&self, customer: &str, key: &str, request_id: &str) -> Option<(u64, &Claim)> {
        let own = self.by_request(customer, request_id);
        match own {
            Some((_, claim)) if claim.answer().is_some() => own,
            _ => self.by_key(customer, key).or(own),
        }
    }

    fn add(&mut self, claim: Claim) {
        self.insert(self.last + 1, claim);
    }

    /// Adds a record under its number, with all indexes.
    pub(crate) fn insert(&mut self, number: u64, mut claim: Claim) {
        self.last = self.last.max(number);
        if let Some((name, _)) = self.customers.get_key_value(&claim.customer) {
            claim.customer = name.clone();
        }
        if let ClaimPhase::Answered(answer) = &mut claim.phase {
            answer.content_type = self.shared_content_type(&answer.content_type);
        }
        let customer = self.customers.entry(claim.customer.clone()).or_default();
        if !claim.key.is_empty() {
            customer.by_key.insert(claim.key.clone(), number);
        }
        customer.by_request.insert(claim.request_id.clone(), number);
        self.ends.insert((claim.expires_unix_ms, number));
        self.records.set(number, claim);
    }

    /// One copy of a content type for all its answers.
    fn shared_content_type(&mut self, content_type: &Arc<str>) -> Arc<str> {
        if let Some(shared) = self.content_types.get(content_type) {
            return shared.clone();
        }
        if self.content_types.len() < CONTENT_TYPES_SHARED {
            self.content_types.insert(content_type.clone());
        }
        content_type.clone()
    }

    fn remove(&mut self, number: u64) -> Option<Claim> {
        let claim = self.records.remove(number)?;
        self.ends.remove(&(claim.expires_unix_ms, number));
        if let Some(customer) = self.customers.get_mut(&claim.customer) {
            // A later record may have taken over the key or the request.
            remove_entry(&mut customer.by_key, &claim.key, number);
            remove_entry(&mut customer.by_request, &claim.request_id, number);
            if customer.by_request.is_empty() && customer.by_key.is_empty() {
                self.customers.remove(&claim.customer);
            }
        }
        Some(claim)
    }

    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &Claim)> {
        self.records.iter()
    }

    /// All records, shared until they change.
    pub(crate) fn freeze(&self) -> ClaimPages {
        self.records.clone()
    }
}

fn other_request(key: &str, claim: &Claim) -> Refusal {
    let request_id = &claim.request_id;
    Refusal::key_conflict(format!("key {key:?} belongs to request {request_id}"))
}

fn remove_entry(index: &mut HashMap<Arc<str>, u64>, name: &str, number: u64) {
    if index.get(name) == Some(&number) {
        index.remove(name);
    }
}
