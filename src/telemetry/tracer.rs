use std::io;
use std::path::Path;
use std::time::Duration;

use opentelemetry::trace::{
    SpanBuilder, SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState,
    Tracer as _, TracerProvider as _,
};
use opentelemetry::Context;
use opentelemetry_sdk::trace::{
    BatchConfigBuilder, BatchSpanProcessor, Sampler, SdkTracer, SdkTracerProvider,
};

use crate::telemetry::json_lines_exporter::JsonLinesExporter;
use crate::telemetry::Span;

/// Spans that may wait for the batch thread; more are dropped.
const QUEUE_SPANS: usize = 16_384;
const BATCH_SPANS: usize = 1_024;
/// Longest time that an ended span waits for others before it is written.
const BATCH_DELAY: Duration = Duration::from_secs(1);

/// Starts spans. Clones share one exporter.
#[derive(Clone)]
pub struct Tracer {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl Tracer {
    /// Opens the tracer of a host. Without a file, spans only carry the trace to the next hop.
    ///
    /// `sample_ratio` is the share of traces kept, 0 to 1, among those that start on this host;
    /// a trace that comes with a request keeps the choice of its first hop.
    ///
    /// # Errors
    /// The span file cannot be opened for appending.
    pub fn open(host_id: &str, span_file: Option<&Path>, sample_ratio: f64) -> io::Result<Self> {
        let root = match span_file {
            Some(_) => Sampler::TraceIdRatioBased(sample_ratio),
            None => Sampler::AlwaysOff,
        };
        let builder =
            SdkTracerProvider::builder().with_sampler(Sampler::ParentBased(Box::new(root)));
        let provider = match span_file {
            None => builder.build(),
            Some(path) => {
                let exporter = JsonLinesExporter::open(host_id, path)?;
                builder.with_span_processor(batch_processor(exporter)).build()
            }
        };
        let tracer = provider.tracer("damaskhoist");
        Ok(Self { provider, tracer })
    }

    /// Starts a span, as a child of the W3C `traceparent` when that is valid, else of none.
    pub fn start(&self, name: &'static str, traceparent: Option<&str>) -> Span {
        match traceparent.and_then(parse_traceparent) {
            Some(parent) => self.start_under(name, parent),
            None => self.build(name, &Context::new()),
        }
    }

    pub(super) fn start_under(&self, name: &'static str, parent: SpanContext) -> Span {
        self.build(name, &Context::new().with_remote_span_context(parent))
    }

    fn build(&self, name: &'static str, context: &Context) -> Span {
        let span = self.tracer.build_with_context(SpanBuilder::from_name(name), context);
        Span::new(self.clone(), span)
    }

    /// Writes the ended spans to the file and stops the batch thread, for all clones.
    pub fn close(self) {
        if let Err(error) = self.provider.shutdown() {
            log::warn!("some spans were not written: {error}");
        }
    }
}

fn batch_processor(exporter: JsonLinesExporter) -> BatchSpanProcessor {
    let config = BatchConfigBuilder::default()
        .with_max_queue_size(QUEUE_SPANS)
        .with_max_export_batch_size(BATCH_SPANS)
        .with_scheduled_delay(BATCH_DELAY)
        .build();
    BatchSpanProcessor::builder(exporter).with_batch_config(config).build()
}

/// Reads `version-trace_id-span_id-flags`; versions after 00 may append further fields.
fn parse_traceparent(header: &str) -> Option<SpanContext> {
    let mut fields = header.trim().split('-');
    let version = hex_field(fields.next()?, 2)?;
    let trace_id = hex_field(fields.next()?, 32)?;
    let span_id = hex_field(fields.next()?, 16)?;
    let flags = hex_field(fields.next()?, 2)?;
    let has_more = fields.next().is_some();
    if version == "ff" || (version == "00" && has_more) {
        return None;
    }
    let context = SpanContext::new(
        TraceId::from_hex(trace_id).ok()?,
        SpanId::from_hex(span_id).ok()?,
        TraceFlags::new(u8::from_str_radix(flags, 16).ok()?) & TraceFlags::SAMPLED,
        true,
        TraceState::NONE,
    );
    context.is_valid().then_some(context)
}

fn hex_field(field: &str, digits: usize) -> Option<&str> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    (field.len() == digits && field.bytes().all(is_digit)).then_some(field)
}
