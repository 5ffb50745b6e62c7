/// Longer digests are folded to this size. It makes accidental collisions negligible.
const FINGERPRINT_BYTES: usize = 16;

/// Digest of a request, which distinguishes a retry from a different request under the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Reads a fingerprint from a snapshot; `None` if it has the wrong length.
    pub(crate) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Some(Self(bytes.try_into().ok()?))
    }
}

impl From<&[u8]> for Fingerprint {
    fn from(digest: &[u8]) -> Self {
        let mut folded = [0; FINGERPRINT_BYTES];
        for (index, byte) in digest.iter().enumerate() {
            folded[index % FINGERPRINT_BYTES] ^= byte;
        }
        // Distinguishes all-zero digests of different lengths.
        folded[FINGERPRINT_BYTES - 1] ^= digest.len() as u8;
        Self(folded)
    }
}
