use crate::schema::peer::{ControlSync, EntrySync};

/// Fills in the sync requests that a host sends to the control hosts, and processes their replies.
pub trait SyncHandler: Send + Sync {
    /// Adds the state of this host to a request to the control host at `to_address`.
    fn fill_request(&self, to_address: &str, sync: &mut EntrySync);

    /// Processes a reply of the control host at `from_address`.
    fn handle_reply(&self, from_address: &str, reply: &ControlSync);
}
