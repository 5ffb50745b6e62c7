use pico_args::Arguments;
use serde_json::{json, Value};
use uuid::Uuid;

use crate::cmd::options::{finish, positional, Options, OutputFormat};
use crate::cmd::server_events::ServerEvents;
use crate::cmd::{Call, Console, EntryClient, Failure, Refusal};

const DEFAULT_ENDPOINT: &str = "/v1/chat/completions";

struct Ask {
    body: Value,
    shows_id: bool,
    endpoint: String,
    key: String,
}

pub(super) async fn run(
    mut arguments: Arguments,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let options = Options::take(&mut arguments)?;
    let mut ask = Ask::take(arguments, console)?;
    ask.body["stream"] = json!(options.output == OutputFormat::Table);
    let body = ask.body.to_string();
    let call = Call::post(&ask.endpoint, body.as_bytes()).under_key(&ask.key);
    let mut client = EntryClient::new(&options);
    if options.output == OutputFormat::Json {
        let answer = client.json(call).await.map_err(|failure| ask.explain(failure))?;
        return console.line(&answer.to_string());
    }
    let response = client.open(call).await.map_err(|failure| ask.explain(failure))?;
    if let (true, Some(id)) = (ask.shows_id, response.header("x-request-id")) {
        console.note(&format!("request {}", id.as_str()));
    }
    let is_stream = response.content_type().is_some_and(|kind| kind.subtype() == "event-stream");
    let events = ServerEvents::new(response, options.timeout);
    if !is_stream {
        let message = "the answer is not a stream";
        return Err(Failure::failed(message, "use --output json for this endpoint"));
    }
    ask.print(events, console).await
}

impl Ask {
    fn take(mut arguments: Arguments, console: &mut Console<'_>) -> Result<Self, Failure> {
        let service: Option<String> = arguments.opt_value_from_str("--service")?;
        let system: Option<String> = arguments.opt_value_from_str("--system")?;
        let max_tokens: Option<u32> = arguments.opt_value_from_str("--max-tokens")?;
        let key: Option<String> = arguments.opt_value_from_str("--key")?;
        let endpoint: Option<String> = arguments.opt_value_from_str("--endpoint")?;
        let shows_id = arguments.contains("--show-id");
        let mut text = positional(&mut arguments, "TEXT")?;
        finish(arguments)?;
        let Some(service) = service else {
            let advice = "give --service NAME; 'damaskhoist query \"show services\"' lists them";
            return Err(Failure::usage("no service is named", advice));
        };
        if text == "-" {
            text.clear();
            console.input.read_to_string(&mut text).map_err(|error| {
                Failure::usage(format!("cannot read standard input: {error}"), "pass UTF-8 text")
            })?;
        }
        let mut messages = Vec::new();
        if let Some(system) = system {
            messages.push(json!({"role": "system", "content": system}));
        }
        messages.push(json!({"role": "user", "content": text}));
        let mut body = json!({"model": service, "messages": messages});
        if let Some(max_tokens) = max_tokens {
            body["max_tokens"] = json!(max_tokens);
        }
        let key = key.unwrap_or_else(|| Uuid::new_v4().to_string());
        Ok(Self {
            body,
            shows_id,
            endpoint: endpoint.unwrap_or_else(|| DEFAULT_ENDPOINT.to_owned()),
            key,
        })
    }

    async fn print<R>(
        &self,
        mut events: ServerEvents<R>,
        console: &mut Console<'_>,
    ) -> Result<(), Failure>
    where
        R: async_std::io::prelude::BufReadExt + Unpin,
    {
        loop {
            let data = match events.next().await {
                Ok(Some(data)) if data == "[DONE]" => return console.line(""),
                Ok(Some(data)) => data,
                Ok(None) => return Err(self.cut_off("the stream ended before its final event")),
                Err(error) => return Err(self.cut_off(&error.to_string())),
            };
            let Ok(event) = serde_json::from_str::<Value>(&data) else {
                return Err(self.cut_off("an event is not JSON"));
            };
            if event.get("error").is_some() {
                let refusal = Refusal::from_answer(500, data.as_bytes());
                return Err(self.explain(Failure::refused(refusal)));
            }
            for choice in event["choices"].as_array().into_iter().flatten() {
                if let Some(text) = choice["delta"]["content"].as_str() {
                    console.write(text.as_bytes())?;
                }
            }
        }
    }

    fn cut_off(&self, reason: &str) -> Failure {
        let message = format!("the answer is not whole: {reason}");
        self.explain(Failure::failed(message, ""))
    }

    /// Adds the key under which the request may be sent again without running twice.
    fn explain(&self, failure: Failure) -> Failure {
        let is_final = failure.refusal.as_ref().is_some_and(|refusal| !refusal.retryable);
        if is_final {
            return failure;
        }
        let advice = format!(
            "run the command again with --key {}; the same key does not run it twice",
            self.key
        );
        failure.with_advice(advice)
    }
}
