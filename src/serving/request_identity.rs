use std::time::Instant;

use sha2::{Digest, Sha256};

/// What makes two requests the same one, whichever host gets them.
#[derive(Clone, Debug)]
pub struct RequestIdentity {
    /// Names the request.
    pub request_id: String,
    /// Customer of the caller.
    pub customer: String,
    /// Key under which the caller may send the request again; empty for none.
    pub key: String,
    /// Digest of the body as the caller sent it.
    pub fingerprint: Vec<u8>,
    /// The request must not run twice.
    pub not_repeatable: bool,
    /// Time at which the whole answer must be there.
    pub deadline: Instant,
}

impl RequestIdentity {
    /// Digest of a request's body.
    pub fn fingerprint_of(body: &[u8]) -> Vec<u8> {
        Sha256::digest(body).to_vec()
    }

    /// True when other hosts must know of the request before it is answered.
    pub fn needs_claim(&self) -> bool {
        self.not_repeatable || !self.key.is_empty()
    }

    /// Key of the claim. A request without a key that must not run twice is known by its content.
    pub fn claim_key(&self) -> String {
        if !self.key.is_empty() {
            return self.key.clone();
        }
        let digest: String = self.fingerprint.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("content-{digest}")
    }
}
