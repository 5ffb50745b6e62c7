use serde_json::{json, Value};

use crate::serving::Answer;

/// JSON format of an answer: chat completion or plain completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFormat {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Completion,
}

impl AnswerFormat {
    /// Returns the answer format for a request path, or `None` if engines don't serve the path.
    pub fn of_path(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" => Some(Self::Chat),
            "/v1/completions" => Some(Self::Completion),
            _ => None,
        }
    }

    /// Request path that answers in this format.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }

    /// Builds one streamed event with text.
    pub fn chunk(self, id: &str, model: &str, text: &str, position: u64) -> Value {
        let choice = match self {
            Self::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
            Self::Completion => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        let object = self.chunk_object();
        json!({"id": id, "object": object, "model": model, "position": position,
            "choices": [choice]})
    }

    /// Builds the last event of a stream before `[DONE]`.
    pub fn last_chunk(self, id: &str, model: &str, answer: &Answer, recorded: bool) -> Value {
        let choice = match self {
            Self::Chat => {
                json!({"index": 0, "delta": {}, "finish_reason": answer.finish_reason})
            }
            Self::Completion => {
                json!({"index": 0, "text": "", "finish_reason": answer.finish_reason})
            }
        };
        let object = self.chunk_object();
        json!({"id": id, "object": object, "model": model, "choices": [choice],
            "usage": usage(answer), "recorded": recorded})
    }

    /// Builds the complete answer of a request that was not streamed.
    pub fn answer_body(self, id: &str, model: &str, answer: &Answer) -> Value {
        let (object, choice) = match self {
            Self::Chat => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": answer.text},
                    "finish_reason": answer.finish_reason}),
            ),
            Self::Completion => (
                "text_completion",
                json!({"index": 0, "text": answer.text, "finish_reason": answer.finish_reason}),
            ),
        };
        json!({"id": id, "object": object, "model": model, "choices": [choice],
            "usage": usage(answer)})
    }

    /// Parses a complete answer that [`Self::answer_body`] built; `None` if a field is missing.
    pub fn parse_answer_body(self, body: &Value) -> Option<Answer> {
        let choice = body.get("choices")?.get(0)?;
        let text = match self {
            Self::Chat => choice.get("message")?.get("content")?,
            Self::Completion => choice.get("text")?,
        };
        let usage = body.get("usage").cloned();
        let tokens = usage.as_ref().and_then(|usage| usage.get("completion_tokens"));
        Some(Answer {
            text: text.as_str()?.to_owned(),
            tokens: tokens.and_then(Value::as_u64).unwrap_or(0) as u32,
            finish_reason: choice.get("finish_reason")?.as_str()?.to_owned(),
            usage,
            ..Answer::default()
        })
    }

    fn chunk_object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion.chunk",
            Self::Completion => "text_completion",
        }
    }
}

fn usage(answer: &Answer) -> Value {
    answer.usage.clone().unwrap_or_else(|| json!({"completion_tokens": answer.tokens}))
}
