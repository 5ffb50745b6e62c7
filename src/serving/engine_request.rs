use std::time::Instant;

use async_std::channel::Sender;

use crate::admission::{Fingerprint, Refusal, RefusalKind, RequestFingerprints, SlotDemand};
use crate::routing::{RequestView, WorkClass};

/// A request to a model engine, ready to be sent to any upstream.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Request ID, as sent to upstreams and callers.
    pub request_id: String,
    /// Service, or empty if any service that offers the model can run the request.
    pub service: String,
    /// Model name.
    pub model: String,
    /// Request path at the engine.
    pub path: String,
    /// Request body, with streaming enabled.
    pub body: Vec<u8>,
    /// Fingerprints of the body's content, for crash detection.
    pub fingerprints: RequestFingerprints,
    /// Hashes of the prompt's prefixes, shortest first. Set by the dispatcher.
    pub prefix_hashes: Vec<u64>,
    /// Work class: online or batch.
    pub class: WorkClass,
    /// True when the request may be sent again although an upstream may have started it.
    pub repeatable: bool,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// `traceparent` header for the upstream.
    pub traceparent: String,
    /// Customer whose share of the slots the request uses.
    pub customer: String,
    /// Maximum number of tokens in the answer; 0 if the body sets none.
    pub expected_tokens: u32,
    /// Position of the first chunk to generate; greater than 0 when an answer is resumed.
    pub first_position: u64,
    /// Closed to preempt batch work in favour of an online request; `None` for work that is not
    /// preempted.
    pub stop: Option<Sender<()>>,
}

impl EngineRequest {
    /// Returns the model named in a request body, or a refusal if the body names none.
    pub fn model_of(body: &serde_json::Value) -> Result<&str, Refusal> {
        let model = body.get("model").and_then(serde_json::Value::as_str);
        model.ok_or_else(|| {
            let message = "field `model` must be a string that names a model";
            Refusal::not_run(RefusalKind::InvalidRequest, message)
        })
    }

    /// Returns the maximum number of tokens that the body sets, or 0 if it sets none.
    pub fn expected_tokens_of(body: &serde_json::Value) -> u32 {
        let tokens = ["max_tokens", "max_completion_tokens"].iter().find_map(|name| body.get(name));
        tokens.and_then(serde_json::Value::as_u64).map_or(0, |tokens| tokens.min(1 << 20) as u32)
    }

    /// Returns the demand with which the request queues for a slot.
    pub fn demand(&self) -> SlotDemand<'_> {
        let first = u32::try_from(self.first_position).unwrap_or(u32::MAX);
        SlotDemand {
            customer: &self.customer,
            expected_tokens: self.expected_tokens.saturating_sub(first),
            deadline: self.deadline,
        }
    }

    /// Returns the body with `stream` set, as answers are always streamed from engines, and the
    /// fingerprints of the body without `stream` and of its messages but the last one, which belongs
    /// to this request alone. The body must be a JSON object.
    pub fn streamed_body(mut body: serde_json::Value) -> (Vec<u8>, RequestFingerprints) {
        if let Some(object) = body.as_object_mut() {
            object.remove("stream");
        }
        let mut bytes = body.to_string().into_bytes();
        let messages = body.get("messages").and_then(serde_json::Value::as_array);
        let shared = messages.and_then(|messages| messages.split_last()).map(|(_, shared)| shared);
        let parts = shared.unwrap_or_default().iter();
        let fingerprints = RequestFingerprints {
            parts: parts.map(|part| Fingerprint::of(&[part.to_string().as_bytes()])).collect(),
            request: Fingerprint::of(&[&bytes]),
        };
        bytes.pop();
        bytes.extend_from_slice(br#","stream":true}"#);
        (bytes, fingerprints)
    }

    /// Returns the fields of the request that routing uses.
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
