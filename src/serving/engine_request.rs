use std::time::Instant;

use async_std::channel::Sender;

use crate::admission::{Fingerprint, Refusal, RefusalKind, SlotDemand};
use crate::routing::{RequestView, WorkClass};

/// A request for a model engine, ready to be sent to any upstream.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Names the request towards upstreams and callers.
    pub request_id: String,
    /// Service, or empty when any service with the model will do.
    pub service: String,
    /// Model.
    pub model: String,
    /// Path at the engine.
    pub path: String,
    /// Body that asks for a stream.
    pub body: Vec<u8>,
    /// Recognises the content of the body.
    pub fingerprint: Fingerprint,
    /// Hashes of the prompt's prefixes, the shortest first; set by the dispatcher.
    pub prefix_hashes: Vec<u64>,
    /// Online or batch.
    pub class: WorkClass,
    /// It may be sent again after an upstream may have started it.
    pub repeatable: bool,
    /// Time at which the whole answer must be there.
    pub deadline: Instant,
    /// Trace context for the upstream.
    pub traceparent: String,
    /// Customer whose share of the slots it uses.
    pub customer: String,
    /// Tokens of the whole answer at most; 0 when the body does not say.
    pub expected_tokens: u32,
    /// Position in the answer from which on it is wanted.
    pub first_position: u64,
    /// Closed to stop batch work for an online request; `None` for work that is not cut.
    pub stop: Option<Sender<()>>,
}

impl EngineRequest {
    /// Names the model in a request's body.
    pub fn model_of(body: &serde_json::Value) -> Result<&str, Refusal> {
        let model = body.get("model").and_then(serde_json::Value::as_str);
        model.ok_or_else(|| {
            let message = "field `model` must be a string that names a model";
            Refusal::not_run(RefusalKind::InvalidRequest, message)
        })
    }

    /// Tokens that the body asks for at most; 0 when it does not say.
    pub fn expected_tokens_of(body: &serde_json::Value) -> u32 {
        let tokens = ["max_tokens", "max_completion_tokens"].iter().find_map(|name| body.get(name));
        tokens.and_then(serde_json::Value::as_u64).map_or(0, |tokens| tokens.min(1 << 20) as u32)
    }

    /// What the request expects of a slot.
    pub fn demand(&self) -> SlotDemand<'_> {
        let first = u32::try_from(self.first_position).unwrap_or(u32::MAX);
        SlotDemand {
            customer: &self.customer,
            expected_tokens: self.expected_tokens.saturating_sub(first),
            deadline: self.deadline,
        }
    }

    /// The body with `stream` set, as engines always answer in a stream, and the fingerprint of
    /// the body without it. Callers have checked that the body is an object.
    pub fn streamed_body(mut body: serde_json::Value) -> (Vec<u8>, Fingerprint) {
        if let Some(object) = body.as_object_mut() {
            object.remove("stream");
        }
        let mut bytes = body.to_string().into_bytes();
        let fingerprint = Fingerprint::of(&[&bytes]);
        bytes.pop();
        bytes.extend_from_slice(br#","stream":true}"#);
        (bytes, fingerprint)
    }

    /// What routing needs to know.
    pub fn view<'a>(&'a self, excluded: &'a [String]) -> RequestView<'a> {
        RequestView {
            service: &self.service,
            model: &self.model,
            class: self.class,
            prefix_hashes: &self.prefix_hashes,
            excluded,
        }
    }
}
