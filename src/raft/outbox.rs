use crate::schema::peer::RaftMessage;

/// Sends messages to other replicas.
pub trait Outbox: Send + Sync {
    /// Sends a message, which may get lost. Must not block.
    fn send(&self, to_address: &str, message: RaftMessage);
}
