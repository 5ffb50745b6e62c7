use crate::boot_instant::BootInstant;
use crate::schema::peer::RoutesConfirmation;

/// A statement of the control hosts that no version newer than `version` was acknowledged before `confirmed_at`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The newest version.
    pub version: u64,
    /// A time no later than that of the confirmation, on the clock of this host, which counts suspensions.
    pub confirmed_at: BootInstant,
    /// Where this host has it from, for the log.
    pub source: String,
}

impl Confirmation {
    /// The confirmation as another host gets it that asked at `arrived`.
    pub fn passed_on(&self, arrived: BootInstant) -> RoutesConfirmation {
        // Both times end at the same reading, as a stop in between would count as held only.
        let now = BootInstant::now();
        RoutesConfirmation {
            version: self.version,
            age_ms: (now - self.confirmed_at).as_millis() as u64 + 1,
            held_ms: (now - arrived).as_millis() as u64,
        }
    }
}
