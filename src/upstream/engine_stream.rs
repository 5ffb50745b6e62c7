use std::time::Duration;

use async_std::{future, task};

use crate::upstream::{Chunk, SseReader, UpstreamError, UpstreamResponse};

/// Time for the end of the body after the last event. A connection that needs longer is closed.
const END_TIMEOUT: Duration = Duration::from_millis(250);

/// What an engine's stream brings next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A piece of the answer.
    Chunk(Chunk),
    /// The engine said that the answer is whole.
    Done,
}

/// The streamed answer of an engine.
pub struct EngineStream {
    events: SseReader,
}

impl EngineStream {
    /// Reads the stream of an answer with status 200.
    pub fn new(response: UpstreamResponse) -> Self {
        Self { events: SseReader::new(response.body) }
    }

    /// The next event, waited for at most `timeout`. A stream that ends without its last event
    /// is an error.
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

    /// Cancels the stream and reads until the engine has ended it.
    pub async fn cancel(mut self) {
        self.events.cancel();
        while let Ok(Some(_)) = self.events.next().await {}
    }

    /// Reads to the end beside the caller, so that the connection can serve the next call.
    pub fn close(mut self) {
        task::spawn(async move { future::timeout(END_TIMEOUT, self.events.is_at_end()).await });
    }
}
