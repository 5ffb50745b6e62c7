use opentelemetry::trace::{Span as _, SpanContext};
use opentelemetry::KeyValue;
use opentelemetry_sdk::trace;

use crate::telemetry::tracer::unrecorded_context;
use crate::telemetry::Tracer;

/// A trace span. It ends when it is closed or dropped.
pub struct Span {
    context: SpanContext,
    // `None` for a span that is not exported, which only propagates the trace context and touches
    // no counters shared between threads.
    recorded: Option<(Tracer, trace::Span)>,
}

impl Span {
    /// Creates a span that propagates `context` but is not exported.
    pub(super) fn unrecorded(context: SpanContext) -> Self {
        Self { context, recorded: None }
    }

    /// Creates a span that is exported when it ends.
    pub(super) fn recorded(tracer: Tracer, span: trace::Span) -> Self {
        Self { context: span.span_context().clone(), recorded: Some((tracer, span)) }
    }

    /// Starts a child span.
    pub fn child(&self, name: &'static str) -> Self {
        match &self.recorded {
            Some((tracer, _)) => tracer.start_recorded(name, self.context.clone()),
            None => Self::unrecorded(unrecorded_context(Some(&self.context))),
        }
    }

    /// Sets a string attribute. Does nothing if the span is not recorded.
    pub fn set_text(&mut self, key: &'static str, value: &str) {
        if let Some((_, span)) = &mut self.recorded {
            span.set_attribute(KeyValue::new(key, value.to_owned()));
        }
    }

    /// Sets an integer attribute. Does nothing if the span is not recorded.
    pub fn set_number(&mut self, key: &'static str, value: i64) {
        if let Some((_, span)) = &mut self.recorded {
            span.set_attribute(KeyValue::new(key, value));
        }
    }

    /// Returns the W3C `traceparent` header value to send with the request to the next hop.
    pub fn traceparent(&self) -> String {
        let (trace_id, span_id) = (self.context.trace_id(), self.context.span_id());
        format!("00-{trace_id}-{span_id}-{:02x}", self.context.trace_flags().to_u8())
    }

    /// Returns the trace ID as 32 hexadecimal digits.
    pub fn trace_id(&self) -> String {
        self.context.trace_id().to_string()
    }

    /// Ends the span.
    pub fn close(self) {}
}
