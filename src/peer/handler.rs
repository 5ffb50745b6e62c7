use async_trait::async_trait;

use crate::schema::peer::frame::Body;
use crate::schema::peer::{Call, Reply};

/// What a process does with the calls and messages of its peers.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Answers one call. Calls of one connection run side by side.
    async fn handle_call(&self, from_host_id: &str, call: Call) -> Reply;

    /// Takes a one-way message. Runs on the connection's reader, so it must not block.
    fn handle_message(&self, from_host_id: &str, body: Body);
}
