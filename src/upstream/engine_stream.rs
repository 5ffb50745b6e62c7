use std::time::Duration;

use async_std::{future, task};

use crate::upstream::{Chunk, SseReader, UpstreamError, UpstreamResponse};

/// Longest time to wait for the end of the body after the last event. After that, the connection is
/// closed instead of reused.
const END_TIMEOUT: Duration = Duration::from_millis(250);

/// Event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A chunk of the answer.
    Chunk(Chunk),
    /// The engine marked the end of the answer with `[DONE]`.
    Done,
}

/// Streamed answer of an engine.
pub struct EngineStream {
    events: SseReader,
}

impl EngineStream {
    /// Creates a stream that reads the body of a response with status 200.
    pub fn new(response: UpstreamResponse) -> Self {
        Self { events: SseReader::new(response.body) }
    }

    /// Returns the next event, waiting at most `timeout`. A stream that ends without `[DONE]` is an
    /// error.
    pub async fn next(&mut self, timeout: Duration) -> Result<EngineEvent, UpstreamError> {
        let event = match future::timeout(timeout, self.events.next()).await {
            Err(_) => {
                let reason = format!("no piece came within {} ms", timeout.as_millis());
                return Err(UpstreamError::Silent(reason));
            }
            Ok(Err(error)) => return Err(UpstreamError::Lost(error.to_string())),
            Ok(Ok(None)) => return Err(UpstreamError::Lost("stream ended early".to_owned())),
            Ok(Ok(Some(event))) => event,
        };
        if event == b"[DONE]" {
            return Ok(EngineEvent::Done);
        }
        let chunk = Chunk::try_from(event);
        chunk.map(EngineEvent::Chunk).map_err(|error| UpstreamError::Invalid(error.to_string()))
    }

    /// Cancels the stream and waits until the engine has ended it.
    pub async fn cancel(mut self) {
        self.events.cancel();
        while let Ok(Some(_)) = self.events.next().await {
            // An engine that sends on without a pause must not keep the caller's timeout from expiring.
            task::yield_now().await;
        }
    }

    /// Reads the rest of the body in a background task, so that the connection can be reused.
    pub fn close(mut self) {
        task::spawn(async move { future::timeout(END_TIMEOUT, self.events.expect_end()).await });
    }
}
