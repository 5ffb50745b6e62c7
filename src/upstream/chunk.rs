use serde::Deserialize;

/// One chunk of an engine's streamed answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Index of the chunk in the complete answer, starting at 0; `None` if the engine does not
    /// number its chunks.
    pub position: Option<u64>,
    /// Text of the chunk; empty in the final chunk.
    pub text: String,
    /// Finish reason; set in the final chunk.
    pub finish_reason: Option<String>,
    /// Token counts that the engine reports in the final chunk.
    pub usage: Option<serde_json::Value>,
}

/// Error for a stream event that is not a chunk of an answer.
#[derive(Debug, thiserror::Error)]
pub enum ChunkError {
    /// The event is not JSON of the expected structure.
    #[error("malformed event: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The engine reported an error in the stream.
    #[error("the engine reported an error: {0}")]
    Reported(serde_json::Value),
}

#[derive(Deserialize)]
struct WireChunk {
    #[serde(default)]
    error: Option<serde_json::Value>,
    position: Option<u64>,
    #[serde(default)]
    usage: Option<serde_json::Value>,
    #[serde(default)]
    choices: Vec<WireChoice>,
}

#[derive(Deserialize)]
struct WireChoice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<WireDelta>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct WireDelta {
    #[serde(default)]
    content: Option<String>,
}

impl TryFrom<&[u8]> for Chunk {
    type Error = ChunkError;

    fn try_from(event: &[u8]) -> Result<Self, Self::Error> {
        let wire: WireChunk = serde_json::from_slice(event)?;
        if let Some(error) = wire.error {
            return Err(ChunkError::Reported(error));
        }
        let (position, usage) = (wire.position, wire.usage);
        let Some(choice) = wire.choices.into_iter().next() else {
            return Ok(Self { position, usage, ..Self::default() });
        };
        let delta = choice.delta.and_then(|delta| delta.content);
        let text = choice.text.or(delta).unwrap_or_default();
        Ok(Self { position, text, finish_reason: choice.finish_reason, usage })
    }
}
