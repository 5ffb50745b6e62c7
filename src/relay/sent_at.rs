use std::sync::OnceLock;

use crate::boot_instant::BootInstant;
use crate::schema::peer::SentAt;

impl SentAt {
    /// The present time of this process. Its clock counts suspensions of the machine: after one, messages would look
    /// late for as long as the smallest offset counts.
    pub(crate) fn now() -> Self {
        static CLOCK_ID: OnceLock<u64> = OnceLock::new();
        Self {
            clock_id: *CLOCK_ID.get_or_init(rand::random),
            clock_ms: BootInstant::now().since_boot().as_millis() as u64,
        }
    }
}
