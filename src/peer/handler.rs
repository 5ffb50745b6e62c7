use async_trait::async_trait;

use crate::schema::peer::frame::Body;
use crate::schema::peer::{Call, Reply};

/// Handles the calls and one-way messages that a process receives from its peers.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Handles one call and returns its reply. Calls on one connection run concurrently.
    async fn handle_call(&self, from_host_id: &str, call: Call) -> Reply;

    /// Handles a one-way message. Runs on the task that reads the connection, so it must not block.
    fn handle_message(&self, from_host_id: &str, body: Body);
}
