use std::io;
use std::path::Path;
use std::time::Duration;

use opentelemetry::trace::{
    SpanBuilder, SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState,
    Tracer as _, TracerProvider as _,
};
use opentelemetry::Context;
use opentelemetry_sdk::trace::{
    BatchConfigBuilder, BatchSpanProcessor, IdGenerator, RandomIdGenerator, Sampler, SdkTracer,
    SdkTracerProvider,
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
    sample_ratio: f64,
    is_recording: bool,
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
        // Spans that are not kept never reach the SDK, so it keeps all that do.
        let builder = SdkTracerProvider::builder().with_sampler(Sampler::AlwaysOn);
        let provider = match span_file {
            None => builder.build(),
            Some(path) => {
                let exporter = JsonLinesExporter::open(host_id, path)?;
                builder.with_span_processor(batch_processor(exporter)).build()
            }
        };
        let tracer = provider.tracer("damaskhoist");
        let sample_ratio = if span_file.is_some() { sample_ratio } else { 0.0 };
        Ok(Self { provider, tracer, sample_ratio, is_recording: span_file.is_some() })
    }

    /// Starts a span, as a child of the W3C `traceparent` when that is valid, else of none.
    pub fn start(&self, name: &'static str, traceparent: Option<&str>) -> Span {
        let parent = traceparent.and_then(parse_traceparent);
        let is_kept = match &parent {
            Some(parent) => parent.is_sampled() && self.is_recording,
            None => self.sample_ratio > 0.0 && rand::random::<f64>() < self.sample_ratio,
        };
        if !is_kept {
            return Span::passing(next_context(parent.as_ref()));
        }
        match parent {
            Some(parent) => self.record(name, parent),
            None => self.build(name, &Context::new()),
        }
    }

    /// Starts a span that is kept, under a parent.
    pub(super) fn record(&self, name: &'static str, parent: SpanContext) -> Span {
        self.build(name, &Context::new().with_remote_span_context(parent))
    }

    fn build(&self, name: &'static str, context: &Context) -> Span {
        let span = self.tracer.build_with_context(SpanBuilder::from_name(name), context);
        Span::recorded(self.clone(), span)
    }

    /// Writes the ended spans to the file and stops the batch thread, for all clones.
    pub fn close(self) {
        if let Err(error) = self.provider.shutdown() {
            log::warn!("some spans were not written: {error}");
        }
    }
}

/// Context of a span that is not kept, within the trace of its parent if it has one.
pub(super) fn next_context(parent: Option<&SpanContext>) -> SpanContext {
    let ids = RandomIdGenerator::default();
    let (trace_id, flags) = match parent {
        Some(parent) => (parent.trace_id(), parent.trace_flags()),
        None => (ids.new_trace_id(), TraceFlags::default()),
    };
    SpanContext::new(trace_id, ids.new_span_id(), flags, false, TraceState::NONE)
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
