/// A point at which the state of this replica is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPoint {
    /// Everything committed up to here when the read was asked for is applied.
    pub index: u64,
    /// Time since this replica surely led.
    pub confirmed_age_ms: u64,
}
