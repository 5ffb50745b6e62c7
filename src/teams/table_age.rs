use std::time::Duration;

/// How current the route table is, and with it the keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableAge {
    /// Callers may be told what the table doesn't allow.
    pub is_current: bool,
    /// Time since no newer table was acknowledged; `None` if that is not known.
    pub confirmed_age: Option<Duration>,
    /// Age of the last confirmation from which on no key is served; `None` if keys are served at any age.
    pub key_lease: Option<Duration>,
}

impl TableAge {
    /// True if a key of the table may be served. A key that was withdrawn is in force no longer than the lease: the newer
    /// table was acknowledged after the last confirmation of this one.
    pub fn allows_keys(&self) -> bool {
        let Some(lease) = self.key_lease else { return true };
        self.confirmed_age.is_some_and(|age| age < lease)
    }
}
