use async_trait::async_trait;

use crate::gateway::{Refusal, UpstreamHead};
use crate::http::HttpError;

/// Takes the answer to a caller. An error means that the caller is gone.
#[async_trait]
pub trait AnswerSink: Send {
    /// The head of the answer; its body follows in parts.
    async fn start(&mut self, head: &UpstreamHead) -> Result<(), HttpError>;

    /// A part of the body.
    async fn send(&mut self, bytes: &[u8]) -> Result<(), HttpError>;

    /// The body is complete.
    async fn finish(&mut self) -> Result<(), HttpError>;

    /// Answers without an upstream. Only before [`AnswerSink::start`].
    async fn refuse(&mut self, refusal: &Refusal) -> Result<(), HttpError>;
}
