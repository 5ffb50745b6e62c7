/// Longer digests are folded to this size, which keeps accidental matches out of reach.
const FINGERPRINT_BYTES: usize = 16;

/// Digest of a request, to tell a resend from another request under the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// A fingerprint as a snapshot has it.
    pub(crate) fn restored(bytes: &[u8]) -> Option<Self> {
        Some(Self(bytes.try_into().ok()?))
    }
}

impl From<&[u8]> for Fingerprint {
    fn from(digest: &[u8]) -> Self {
        let mut folded = [0; FINGERPRINT_BYTES];
        for (place, byte) in digest.iter().enumerate() {
            folded[place % FINGERPRINT_BYTES] ^= byte;
        }
        // Tells apart digests of zeros of different lengths.
        folded[FINGERPRINT_BYTES - 1] ^= digest.len() as u8;
        Self(folded)
    }
}
