use crate::schema::peer::{ControlSync, EntrySync};

/// Fills in the sync requests that a host sends to the control hosts, and processes their replies.
pub trait SyncHandler: Send + Sync {
    /// Adds the state of this host to a request to the control host at `to_address`.
    fn fill_request(&self, to_address: &str, sync: &mut EntrySync);

    /// Processes the reply to the last request of the control host at `from_address`.
    fn handle_reply(&self, from_address: &str, reply: &ControlSync);

    /// True if changes of the routes reach this host by a replica of its own.
    fn applies_routes(&self) -> bool {
        false
    }

    /// Processes a reply to an earlier request. It acknowledges nothing that the last request contains, and
    /// decisions on the report of the earlier one no longer hold.
    fn handle_superseded_reply(&self, _from_address: &str, _reply: &ControlSync) {}
}
