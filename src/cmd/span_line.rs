use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

/// A span as a span file holds it.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct SpanLine {
    pub(super) trace_id: String,
    pub(super) span_id: String,
    pub(super) parent_span_id: Option<String>,
    pub(super) name: String,
    pub(super) host_id: String,
    pub(super) start_unix_us: u64,
    pub(super) duration_us: u64,
    #[serde(default)]
    pub(super) attributes: BTreeMap<String, Value>,
}
