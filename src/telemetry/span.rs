use opentelemetry::trace::{Span as _, SpanContext};
use opentelemetry::KeyValue;
use opentelemetry_sdk::trace;

use crate::telemetry::tracer::next_context;
use crate::telemetry::Tracer;

/// A piece of work with a start and an end; it ends when it is closed or dropped.
pub struct Span {
    context: SpanContext,
    // A span that is not kept only passes the trace on, and costs no shared counters.
    recorded: Option<(Tracer, trace::Span)>,
}

impl Span {
    pub(super) fn passing(context: SpanContext) -> Self {
        Self { context, recorded: None }
    }

    pub(super) fn recorded(tracer: Tracer, span: trace::Span) -> Self {
        Self { context: span.span_context().clone(), recorded: Some((tracer, span)) }
    }

    /// Starts a span under this one.
    pub fn child(&self, name: &'static str) -> Self {
        match &self.recorded {
            Some((tracer, _)) => tracer.record(name, self.context.clone()),
            None => Self::passing(next_context(Some(&self.context))),
        }
    }

    /// Sets a text attribute; without effect when the span is not kept.
    pub fn text(&mut self, key: &'static str, value: &str) {
        if let Some((_, span)) = &mut self.recorded {
            span.set_attribute(KeyValue::new(key, value.to_owned()));
        }
    }

    /// Sets a number attribute; without effect when the span is not kept.
    pub fn number(&mut self, key: &'static str, value: i64) {
        if let Some((_, span)) = &mut self.recorded {
            span.set_attribute(KeyValue::new(key, value));
        }
    }

    /// W3C `traceparent` header for the next hop.
    pub fn traceparent(&self) -> String {
        let (trace_id, span_id) = (self.context.trace_id(), self.context.span_id());
        format!("00-{trace_id}-{span_id}-{:02x}", self.context.trace_flags().to_u8())
    }

    /// Trace of the span, 32 hexadecimal digits.
    pub fn trace_id(&self) -> String {
        self.context.trace_id().to_string()
    }

    /// Ends the span.
    pub fn close(self) {}
}
