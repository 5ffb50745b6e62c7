use sha2::{Digest, Sha256};

/// Hash of a request's content, independent of its id, idempotency key and caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; Self::BYTES]);

impl Fingerprint {
    /// Length of a fingerprint in bytes.
    pub const BYTES: usize = 16;

    /// Fingerprint of the concatenated parts of a request: the first bytes of their SHA-256 digest.
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

    /// The fingerprint as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl TryFrom<&[u8]> for Fingerprint {
    type Error = std::array::TryFromSliceError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        Ok(Self(bytes.try_into()?))
    }
}
