use std::io;

use futures::stream::{Stream, StreamExt};
use serde_json::{json, Value};

/// Form of an answer, chosen by the path of the request.
#[derive(Clone, Copy)]
pub(crate) enum AnswerForm {
    Chat,
    Text,
}

/// One step of an answer.
pub(crate) enum Output {
    Token { position: u64, text: String },
    End(Ending),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    Finished,
    Cancelled,
    /// The engine crashed.
    Lost,
}

/// Writes the outputs of one request as JSON or as server-sent events.
pub(crate) struct AnswerEncoder {
    pub(crate) form: AnswerForm,
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) prompt_tokens: usize,
    pub(crate) streams: bool,
}

impl AnswerEncoder {
    /// Turns the outputs into events. A lost request ends with an error, so that the connection is
    /// cut and the answer cannot look whole.
    pub(crate) fn into_events<S>(self, outputs: S) -> impl Stream<Item = io::Result<Vec<u8>>>
    where
        S: Stream<Item = Output> + Unpin,
    {
        let mut next_position = 0;
        outputs.map(move |output| match output {
            Output::Token { position, text } => {
                next_position = position + 1;
                Ok(event(&self.token_chunk(position, &text)))
            }
            Output::End(Ending::Lost) => Err(io::ErrorKind::ConnectionAborted.into()),
            Output::End(ending) => {
                let mut events = event(&self.final_chunk(ending, next_position));
                events.extend_from_slice(b"data: [DONE]\n\n");
                Ok(events)
            }
        })
    }

    /// Collects the outputs into one body.
    pub(crate) async fn into_body<S>(self, mut outputs: S) -> Value
    where
        S: Stream<Item = Output> + Unpin,
    {
        let mut answer = String::new();
        let mut next_position = 0;
        let mut ending = Ending::Lost;
        while let Some(output) = outputs.next().await {
            match output {
                Output::Token { position, text } => {
                    next_position = position + 1;
                    answer.push_str(&text);
                }
                Output::End(end) => ending = end,
            }
        }
        if ending == Ending::Lost {
            // A crashed engine answers nothing; the connection is about to be cut.
            futures::future::pending::<()>().await;
        }
        let choice = match self.form {
            AnswerForm::Chat => json!({"index": 0, "finish_reason": reason(ending),
                "message": {"role": "assistant", "content": answer}}),
            AnswerForm::Text => {
                json!({"index": 0, "finish_reason": reason(ending), "text": answer})
            }
        };
        json!({"id": self.id, "object": self.object(), "model": self.model,
            "choices": [choice], "usage": self.usage(next_position)})
    }

    fn token_chunk(&self, position: u64, text: &str) -> Value {
        let choice = match self.form {
            AnswerForm::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
            AnswerForm::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        json!({"id": self.id, "object": self.object(), "model": self.model,
            "position": position, "choices": [choice]})
    }

    fn final_chunk(&self, ending: Ending, next_position: u64) -> Value {
        let choice = match self.form {
            AnswerForm::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason(ending)}),
            AnswerForm::Text => json!({"index": 0, "text": "", "finish_reason": reason(ending)}),
        };
        json!({"id": self.id, "object": self.object(), "model": self.model,
            "choices": [choice], "usage": self.usage(next_position)})
    }

    fn object(&self) -> &'static str {
        match self.form {
            AnswerForm::Chat if self.streams => "chat.completion.chunk",
            AnswerForm::Chat => "chat.completion",
            AnswerForm::Text => "text_completion",
        }
    }

    /// Completion tokens are counted from position 0, also in a resumed answer.
    fn usage(&self, next_position: u64) -> Value {
        json!({"prompt_tokens": self.prompt_tokens, "completion_tokens": next_position,
            "total_tokens": self.prompt_tokens as u64 + next_position})
    }
}

fn reason(ending: Ending) -> &'static str {
    match ending {
        Ending::Finished => "length",
        Ending::Cancelled | Ending::Lost => "cancelled",
    }
}

fn event(chunk: &Value) -> Vec<u8> {
    format!("data: {chunk}\n\n").into_bytes()
}
