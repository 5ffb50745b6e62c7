use std::cmp::Ordering;

use super::event::Event;

/// An event in the order of time, then of its creation.
pub struct Planned(pub u64, pub u64, pub Event);

impl PartialEq for Planned {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Planned {}

impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Planned {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
