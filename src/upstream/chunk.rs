use serde::Deserialize;

/// A piece of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
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

#[derive(Deserialize)]
struct WireChunk {
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
    type Error = serde_json::Error;

    fn try_from(event: &[u8]) -> Result<Self, Self::Error> {
        let wire: WireChunk = serde_json::from_slice(event)?;
        let (position, usage) = (wire.position, wire.usage);
        let Some(choice) = wire.choices.into_iter().next() else {
            return Ok(Self { position, text: String::new(), finish_reason: None, usage });
        };
        let delta = choice.delta.and_then(|delta| delta.content);
        let text = choice.text.or(delta).unwrap_or_default();
        Ok(Self { position, text, finish_reason: choice.finish_reason, usage })
    }
}
