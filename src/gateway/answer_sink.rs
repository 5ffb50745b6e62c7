use async_trait::async_trait;

use crate::gateway::{Refusal, UpstreamHead};
use crate::http::HttpError;

/// Writes an answer to a caller. An error means that the caller has disconnected.
#[async_trait]
pub trait AnswerSink: Send {
    /// Sends the head of the answer; the body follows in chunks.
    async fn start(&mut self, head: &UpstreamHead) -> Result<(), HttpError>;

    /// Sends a chunk of the body.
    async fn send(&mut self, bytes: &[u8]) -> Result<(), HttpError>;

    /// Ends the body.
    async fn finish(&mut self) -> Result<(), HttpError>;

    /// Sends a refusal instead of an answer. Must not be called after [`AnswerSink::start`].
    async fn refuse(&mut self, refusal: &Refusal) -> Result<(), HttpError>;
}
