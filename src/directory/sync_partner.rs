use crate::schema::peer::{ControlSync, EntrySync};

/// What a host adds to its questions to the control hosts, and takes from their answers.
pub trait SyncPartner: Send + Sync {
    /// Fills in what the host says of itself.
    fn report(&self, sync: &mut EntrySync);

    /// Takes an answer of the control host at this address.
    fn receive(&self, from_address: &str, answer: &ControlSync);
}
