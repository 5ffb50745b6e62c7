use crate::upstream::{Chunk, SseReader, UpstreamError, UpstreamResponse};

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

    /// The next event. A stream that ends without its last event is an error.
    pub async fn next(&mut self) -> Result<EngineEvent, UpstreamError> {
        let lost = |reason: String| UpstreamError::Lost(reason);
        let event = self.events.next().await.map_err(|error| lost(error.to_string()))?;
        let Some(event) = event else { return Err(lost("stream ended early".to_owned())) };
        if event == b"[DONE]" {
            return Ok(EngineEvent::Done);
        }
        let chunk = Chunk::try_from(event).map_err(|error| lost(error.to_string()))?;
        Ok(EngineEvent::Chunk(chunk))
    }

    /// Cancels the stream and reads until the engine has ended it.
    pub async fn cancel(mut self) {
        self.events.cancel();
        while let Ok(Some(_)) = self.events.next().await {}
    }

    /// Reads to the end, so that the connection can serve the next call.
    pub async fn close(mut self) {
        let _ = self.events.next().await;
    }
}
