use crate::schema::peer as wire;

/// Status of a record. Within one incarnation a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// Accepts work.
    Alive,
    /// Did not answer probes; declared dead unless it refutes the suspicion in time.
    Suspect,
    /// Accepts no new work, and finishes the work in progress.
    Leaving,
    /// Did not refute a suspicion in time, or its lease expired.
    Dead,
    /// Gone after it announced its departure.
    Left,
}

impl Status {
    /// Name in responses to operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }

    /// True for tombstones: records kept only so that outdated messages do not revive them.
    pub fn is_removed(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }
}

impl From<Status> for wire::Status {
    fn from(status: Status) -> Self {
        match status {
            Status::Alive => Self::Alive,
            Status::Suspect => Self::Suspect,
            Status::Leaving => Self::Leaving,
            Status::Dead => Self::Dead,
            Status::Left => Self::Left,
        }
    }
}

impl TryFrom<wire::Status> for Status {
    type Error = &'static str;

    fn try_from(status: wire::Status) -> Result<Self, Self::Error> {
        match status {
            wire::Status::Unspecified => Err("record without a status"),
            wire::Status::Alive => Ok(Self::Alive),
            wire::Status::Suspect => Ok(Self::Suspect),
            wire::Status::Leaving => Ok(Self::Leaving),
            wire::Status::Dead => Ok(Self::Dead),
            wire::Status::Left => Ok(Self::Left),
        }
    }
}
