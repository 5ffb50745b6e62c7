use serde::Deserialize;

/// A piece of an engine's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Number of the piece in the whole answer, from 0; `None` when the engine numbers none.
    pub position: Option<u64>,
    /// Text of the piece.
    pub text: String,
    /// Why the answer ended, in its last piece.
    pub finish_reason: Option<String>,
    /// Tokens counted by the engine, as it reports them in its last piece.
    pub usage: Option<serde_json::Value>,
}

/// Why an event of a stream is not a piece of an answer.
#[derive(Debug, thiserror::Error)]
pub enum ChunkError {
    /// The event is not JSON of the expected form.
    #[error("malformed event: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The engine reported an error inside the stream.
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
