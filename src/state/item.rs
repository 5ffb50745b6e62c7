use crate::schema::state as wire;
use crate::state::BodyRef;

/// Encoded size of an item in a snapshot.
pub(crate) const ITEM_BYTES: usize = 20;

/// One item of a job. Takes 20 bytes in memory and in a snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Item {
    pub(crate) state: ItemState,
    /// Attempts that count towards the job's `max_attempts`; yielded attempts do not.
    pub(crate) counted_attempts: u8,
    /// Status of the upstream's answer once the item has ended; 0 if there was none.
    pub(crate) status: u16,
    /// Number of the latest attempt, incremented by each lease.
    pub(crate) attempt: u32,
    /// Result of an ended item; partial answer of an unfinished one.
    pub(crate) body: BodyRef,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ItemState {
    #[default]
    Pending,
    Leased,
    Succeeded,
    Failed,
}

impl Item {
    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.state, ItemState::Succeeded | ItemState::Failed)
    }

    pub(crate) fn to_bytes(self) -> [u8; ITEM_BYTES] {
        let mut bytes = [0; ITEM_BYTES];
        bytes[0] = self.state as u8;
        bytes[1] = self.counted_attempts;
        bytes[2..4].copy_from_slice(&self.status.to_le_bytes());
        bytes[4..8].copy_from_slice(&self.attempt.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.body.segment.to_le_bytes());
        bytes[12..16].copy_from_slice(&self.body.offset_bytes.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.body.len_bytes.to_le_bytes());
        bytes
    }

    pub(crate) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let state = match bytes.first()? {
            0 => ItemState::Pending,
            1 => ItemState::Leased,
            2 => ItemState::Succeeded,
            3 => ItemState::Failed,
            _ => return None,
        };
        Some(Self {
            state,
            counted_attempts: *bytes.get(1)?,
            status: u16::from_le_bytes(bytes.get(2..4)?.try_into().ok()?),
            attempt: word(4)?,
            body: BodyRef { segment: word(8)?, offset_bytes: word(12)?, len_bytes: word(16)? },
        })
    }
}

impl From<ItemState> for wire::ItemState {
    fn from(state: ItemState) -> Self {
        match state {
            ItemState::Pending => Self::ItemPending,
            ItemState::Leased => Self::ItemLeased,
            ItemState::Succeeded => Self::ItemSucceeded,
            ItemState::Failed => Self::ItemFailed,
        }
    }
}
