use crate::schema::peer as wire;

/// State of a record. Within one incarnation a later state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// Takes work.
    Alive,
    /// Did not answer probes; dead soon unless it refutes.
    Suspect,
    /// Takes no new work, and finishes what it has.
    Leaving,
    /// Silent for too long.
    Dead,
    /// Said that it is gone.
    Left,
}

impl Status {
    /// Name in answers to operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }

    /// True for records that are kept only so that old news does not bring them back.
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
