use crate::schema::peer::RaftMessage;

/// Transport for messages to other replicas.
pub trait Transport: Send + Sync {
    /// Sends a message without blocking. Messages may be lost.
    fn send(&self, to_address: &str, message: RaftMessage);
}
