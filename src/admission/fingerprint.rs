use sha2::{Digest, Sha256};

/// Recognises the content of a request, whatever its id, key or caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; Self::BYTES]);

impl Fingerprint {
    /// Length of a fingerprint.
    pub const BYTES: usize = 16;

    /// Fingerprint of the parts of a request, the start of their SHA-256 digest.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut fingerprint = [0; Self::BYTES];
        fingerprint.copy_from_slice(&digest[..Self::BYTES]);
        Self(fingerprint)
    }

    /// The bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}
