use crate::admission::Fingerprint;

/// Fingerprints of what a request holds, each of which may be what crashes an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFingerprints {
    /// Parts that other requests may share.
    pub parts: Vec<Fingerprint>,
    /// The request as a whole.
    pub request: Fingerprint,
}

impl RequestFingerprints {
    /// Fingerprints of a request without parts that others share.
    pub fn of_request(request: Fingerprint) -> Self {
        Self { parts: Vec::new(), request }
    }

    /// All fingerprints, each with true if it is of a part.
    pub fn iter(&self) -> impl Iterator<Item = (&Fingerprint, bool)> {
        let parts = self.parts.iter().map(|part| (part, true));
        parts.chain([(&self.request, false)])
    }

    /// True if one of them has these bytes.
    pub fn contains(&self, fingerprint: &[u8]) -> bool {
        self.iter().any(|(own, _)| own.as_bytes() == fingerprint)
    }
}
