use crate::schema::state as wire;

/// Why a command or a query was refused, with a message for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: RefusalCode,
    pub(crate) message: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalCode {
    NotFound,
    VersionConflict,
    KeyConflict,
    Invalid,
    StorageFull,
    AlreadyFinished,
}

impl Refusal {
    pub(crate) fn not_found(message: impl Into<String>) -> Self {
        Self { code: RefusalCode::NotFound, message: message.into() }
    }

    pub(crate) fn version_conflict(message: impl Into<String>) -> Self {
        Self { code: RefusalCode::VersionConflict, message: message.into() }
    }

    pub(crate) fn key_conflict(message: impl Into<String>) -> Self {
        Self { code: RefusalCode::KeyConflict, message: message.into() }
    }

    pub(crate) fn invalid(message: impl Into<String>) -> Self {
        Self { code: RefusalCode::Invalid, message: message.into() }
    }

    pub(crate) fn storage_full(message: impl Into<String>) -> Self {
        Self { code: RefusalCode::StorageFull, message: message.into() }
    }

    pub(crate) fn already_finished(message: impl Into<String>) -> Self {
        Self { code: RefusalCode::AlreadyFinished, message: message.into() }
    }
}

impl From<RefusalCode> for wire::RefusalCode {
    fn from(code: RefusalCode) -> Self {
        match code {
            RefusalCode::NotFound => Self::NotFound,
            RefusalCode::VersionConflict => Self::VersionConflict,
            RefusalCode::KeyConflict => Self::KeyConflict,
            RefusalCode::Invalid => Self::Invalid,
            RefusalCode::StorageFull => Self::StorageFull,
            RefusalCode::AlreadyFinished => Self::AlreadyFinished,
        }
    }
}

impl From<wire::RefusalCode> for RefusalCode {
    fn from(code: wire::RefusalCode) -> Self {
        match code {
            wire::RefusalCode::NotFound => Self::NotFound,
            wire::RefusalCode::VersionConflict => Self::VersionConflict,
            wire::RefusalCode::KeyConflict => Self::KeyConflict,
            wire::RefusalCode::Invalid | wire::RefusalCode::Unspecified => Self::Invalid,
            wire::RefusalCode::StorageFull => Self::StorageFull,
            wire::RefusalCode::AlreadyFinished => Self::AlreadyFinished,
        }
    }
}

impl From<&Refusal> for wire::Refused {
    fn from(refusal: &Refusal) -> Self {
        Self {
            code: wire::RefusalCode::from(refusal.code).into(),
            message: refusal.message.clone(),
        }
    }
}

impl From<wire::Refused> for Refusal {
    fn from(refused: wire::Refused) -> Self {
        Self { code: refused.code().into(), message: refused.message }
    }
}
