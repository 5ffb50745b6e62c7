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

/// Capacity of the export queue, in spans. Ended spans are dropped while it is full.
const QUEUE_SPANS: usize = 16_384;
/// Maximum number of spans in one export.
const BATCH_SPANS: usize = 1_024;
/// Maximum time between two exports, so that an ended span is written after at most this delay.
const BATCH_DELAY: Duration = Duration::from_secs(1);

/// Creates spans and propagates trace contexts. Clones share one exporter.
#[derive(Clone)]
pub struct Tracer {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    sample_ratio: f64,
    is_recording: bool,
}

impl Tracer {
    /// Creates the tracer of a host. Without a span file, spans are not exported and only propagate
    /// the trace context to the next hop.
    ///
    /// `sample_ratio`, from 0 to 1, is the share of traces to sample among those that start on this
    /// host. A trace that arrives with a request keeps the sampling decision of its first hop.
    ///
    /// # Errors
    /// The span file cannot be opened for appending.
    pub fn open(host_id: &str, span_file: Option<&Path>, sample_ratio: f64) -> io::Result<Self> {
        // `start` makes the sampling decision, and unsampled spans never reach the SDK, so the SDK
        // samples every span.
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

    /// Starts a span as a child of the W3C `traceparent` header. If the header is missing or
    /// invalid, the span starts a new trace.
    pub fn start(&self, name: &'static str, traceparent: Option<&str>) -> Span {
        let parent = traceparent.and_then(parse_traceparent);
        let is_recorded = match &parent {
            Some(parent) => parent.is_sampled() && self.is_recording,
            None => self.sample_ratio > 0.0 && rand::random::<f64>() < self.sample_ratio,
        };
        if !is_recorded {
            return Span::unrecorded(unrecorded_context(parent.as_ref()));
        }
        match parent {
            Some(parent) => self.start_recorded(name, parent),
            None => self.build_recorded(name, &Context::new()),
        }
    }

    /// Starts a recorded span as a child of `parent`.
    pub(super) fn start_recorded(&self, name: &'static str, parent: SpanContext) -> Span {
        self.build_recorded(name, &Context::new().with_remote_span_context(parent))
    }

    fn build_recorded(&self, name: &'static str, context: &Context) -> Span {
        let span = self.tracer.build_with_context(SpanBuilder::from_name(name), context);
        Span::recorded(self.clone(), span)
    }

    /// Exports the ended spans that are still queued and shuts down the span processor, for all
    /// clones.
    pub fn close(self) {
        if let Err(error) = self.provider.shutdown() {
            log::warn!("failed to shut down the tracer, some spans may be lost: {error}");
        }
    }
}

/// Returns the context for a span that is not recorded: in the trace of `parent`, or in a new,
/// unsampled trace if there is no parent.
pub(super) fn unrecorded_context(parent: Option<&SpanContext>) -> SpanContext {
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

/// Parses a W3C `traceparent` header: `version-trace_id-span_id-flags`. Versions after 00 may
/// append further fields, which are ignored. Returns `None` if the header is invalid.
fn parse_traceparent(header: &str) -> Option<SpanContext> {
    let mut fields = header.trim().split('-');
    let version = hex_field(fields.next()?, 2)?;
    let trace_id = hex_field(fields.next()?, 32)?;
    let span_id = hex_field(fields.next()?, 16)?;
    let flags = hex_field(fields.next()?, 2)?;
    let has_extra_field = fields.next().is_some();
    if version == "ff" || (version == "00" && has_extra_field) {
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

/// Returns `field` if it has exactly `digits` lowercase hexadecimal digits.
fn hex_field(field: &str, digits: usize) -> Option<&str> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    (field.len() == digits && field.bytes().all(is_digit)).then_some(field)
}
