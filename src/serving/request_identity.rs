use std::time::Instant;

use sha2::{Digest, Sha256};

/// Identifies a request across hosts, so that a repeated request is recognised on any of them.
#[derive(Clone, Debug)]
pub struct RequestIdentity {
    /// Request ID.
    pub request_id: String,
    /// Customer that the caller belongs to.
    pub customer: String,
    /// Idempotency key of the caller; empty if there is none.
    pub key: String,
    /// SHA-256 digest of the body as the caller sent it.
    pub fingerprint: Vec<u8>,
    /// True when the request must not run twice.
    pub not_repeatable: bool,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}

impl RequestIdentity {
    /// Returns the SHA-256 digest of a request body.
    pub fn fingerprint_of(body: &[u8]) -> Vec<u8> {
        Sha256::digest(body).to_vec()
    }

    /// True when the request must hold a claim, so that other hosts don't run it as well.
    pub fn needs_claim(&self) -> bool {
        self.not_repeatable || !self.key.is_empty()
    }

    /// Returns the key of the claim. A request without an idempotency key that must not run twice
    /// is identified by the digest of its body.
    pub fn claim_key(&self) -> String {
        if !self.key.is_empty() {
            return self.key.clone();
        }
        let digest: String = self.fingerprint.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("content-{digest}")
    }
}
