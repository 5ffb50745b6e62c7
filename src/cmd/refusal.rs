use std::fmt;

use serde::Deserialize;
use serde_json::Value;

/// A refusal as the HTTP interface words it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Refusal {
    /// Machine-readable reason.
    pub code: String,
    /// Reason for people.
    pub message: String,
    /// `not_run`, `may_have_run` or `ran`.
    pub outcome: String,
    /// The same request may succeed later.
    pub retryable: bool,
    /// Time to wait before the request is sent again.
    pub retry_after_ms: u64,
    entries: Vec<Value>,
}

#[derive(Deserialize)]
struct Envelope {
    error: Refusal,
}

impl Refusal {
    /// Reads the refusal in an answer with an error status.
    pub fn from_answer(status: u16, body: &[u8]) -> Self {
        if let Ok(envelope) = serde_json::from_slice::<Envelope>(body) {
            return envelope.error;
        }
        let text = String::from_utf8_lossy(body);
        let message = format!("HTTP status {status} {}", text.trim());
        Self { code: format!("http_{status}"), message, ..Self::default() }
    }

    /// No upstream can have started the request.
    pub fn is_not_run(&self) -> bool {
        self.outcome == "not_run"
    }

    /// Other addresses to ask.
    pub fn entries(&self) -> impl Iterator<Item = &str> {
        self.entries.iter().filter_map(|entry| entry.as_str().or_else(|| entry["address"].as_str()))
    }

    pub(super) fn advice(&self) -> String {
        let outcome = match self.outcome.as_str() {
            "not_run" => "nothing was run",
            "may_have_run" => "the request may have run: resend it only under the same key",
            "ran" => "the request has run: read its outcome rather than sending it again",
            _ => "see the message for the reason",
        };
        if !self.retryable {
            return format!("{outcome}; sending the same again will be refused again");
        }
        format!("{outcome}; try again in {} ms", self.retry_after_ms)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "refused ({}): {}", self.code, self.message)
    }
}
