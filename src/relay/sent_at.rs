use std::sync::OnceLock;

use crate::gateway::monotonic_ms;
use crate::schema::peer::SentAt;

impl SentAt {
    /// The present time of this process.
    pub(crate) fn now() -> Self {
        static CLOCK_ID: OnceLock<u64> = OnceLock::new();
        Self { clock_id: *CLOCK_ID.get_or_init(rand::random), clock_ms: monotonic_ms() }
    }
}
