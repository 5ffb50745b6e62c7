//! Types generated from `schema/standin.proto`.
#![allow(missing_docs, clippy::all)]

include!("generated/damaskhoist.standin.rs");

/// Tokens of an answer whose request names no bound.
const DEFAULT_MAX_TOKENS: u32 = 16;

impl EngineOptions {
    /// Settings of a small engine of `service` on a free loopback port, with one model.
    pub fn for_service(service: &str, model: &str) -> Self {
        Self {
            service: service.to_owned(),
            listen_address: "127.0.0.1:0".to_owned(),
            models: vec![Model {
                name: model.to_owned(),
                version: "1".to_owned(),
                adapters: vec![],
            }],
            slots: 4,
            token_time_us: 5_000,
            prefill_time_us_per_token: 100,
            cache_tokens: 4_096,
            kv_bytes_per_token: 8,
            weight_bytes: 1 << 30,
            weight_bytes_per_s: 1 << 30,
            role: "mixed".to_owned(),
            announce_interval_ms: 500,
            lease_ms: 2_000,
            ..Self::default()
        }
    }

    /// Settings of a plain service on a free loopback port.
    pub fn for_plain_service(service: &str) -> Self {
        Self { plain: true, models: vec![], ..Self::for_service(service, "") }
    }
}

impl CompletionRequest {
    /// Text that is split into prompt tokens: the prompt, or each message's role and content on
    /// lines of their own.
    pub fn prompt_text(&self) -> String {
        if self.messages.is_empty() {
            return self.prompt.clone();
        }
        self.messages
            .iter()
            .map(|message| format!("{}\n{}\n", message.role, message.content))
            .collect()
    }

    /// Tokens of the whole answer, counted from position 0.
    pub fn token_limit(&self) -> u64 {
        u64::from(self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS))
    }
}
