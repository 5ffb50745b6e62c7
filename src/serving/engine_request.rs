use std::time::Instant;

use crate::admission::{Fingerprint, Refusal, RefusalKind};
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
