use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use opentelemetry::trace::SpanId;
use opentelemetry::Value;
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::trace::{SpanData, SpanExporter};
use serde_json::{json, Map};

/// Span exporter that appends one JSON object per line to a file. Only the thread of the batch span
/// processor calls it.
#[derive(Debug)]
pub(super) struct JsonLinesExporter {
    host_id: String,
    file: Mutex<BufWriter<File>>,
}

impl JsonLinesExporter {
    /// Opens the file in append mode, so that spans from before a restart are kept.
    pub(super) fn open(host_id: &str, path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self { host_id: host_id.to_owned(), file: Mutex::new(BufWriter::new(file)) })
    }

    fn write_spans(&self, batch: &[SpanData]) -> io::Result<()> {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        for span in batch {
            serde_json::to_writer(&mut *file, &span_to_json(&self.host_id, span))?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}

impl SpanExporter for JsonLinesExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.write_spans(&batch).map_err(|error| OTelSdkError::InternalFailure(error.to_string()))
    }
}

fn span_to_json(host_id: &str, span: &SpanData) -> serde_json::Value {
    let parent = match span.parent_span_id {
        SpanId::INVALID => None,
        parent => Some(parent.to_string()),
    };
    let duration = span.end_time.duration_since(span.start_time).unwrap_or_default();
    let mut attributes = Map::new();
    for attribute in &span.attributes {
        attributes.insert(attribute.key.to_string(), json_value(&attribute.value));
    }
    json!({
        "trace_id": span.span_context.trace_id().to_string(),
        "span_id": span.span_context.span_id().to_string(),
        "parent_span_id": parent,
        "name": span.name,
        "host_id": host_id,
        "start_unix_us": unix_us(span.start_time),
        "duration_us": duration.as_micros() as u64,
        "attributes": attributes,
    })
}

fn json_value(value: &Value) -> serde_json::Value {
    match value {
        Value::Bool(flag) => json!(flag),
        Value::I64(number) => json!(number),
        Value::F64(number) => json!(number),
        text => json!(text.as_str()),
    }
}

fn unix_us(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}
