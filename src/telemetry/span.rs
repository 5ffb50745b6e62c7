use opentelemetry::trace::Span as _;
use opentelemetry::KeyValue;
use opentelemetry_sdk::trace;

use crate::telemetry::Tracer;

/// A piece of work with a start and an end; it ends when it is closed or dropped.
pub struct Span {
    tracer: Tracer,
    span: trace::Span,
}

impl Span {
    pub(super) fn new(tracer: Tracer, span: trace::Span) -> Self {
        Self { tracer, span }
    }

    /// Starts a span under this one.
    pub fn child(&self, name: &'static str) -> Self {
        self.tracer.start_under(name, self.span.span_context().clone())
    }

    /// Sets a text attribute; without effect when the span is not recorded.
    pub fn text(&mut self, key: &'static str, value: &str) {
        if self.span.is_recording() {
            self.span.set_attribute(KeyValue::new(key, value.to_owned()));
        }
    }

    /// Sets a number attribute; without effect when the span is not recorded.
    pub fn number(&mut self, key: &'static str, value: i64) {
        if self.span.is_recording() {
            self.span.set_attribute(KeyValue::new(key, value));
        }
    }

    /// W3C `traceparent` header for the next hop.
    pub fn traceparent(&self) -> String {
        let context = self.span.span_context();
        let flags = context.trace_flags().to_u8();
        format!("00-{}-{}-{flags:02x}", context.trace_id(), context.span_id())
    }

    /// Trace of the span, 32 hexadecimal digits.
    pub fn trace_id(&self) -> String {
        self.span.span_context().trace_id().to_string()
    }

    /// Ends the span.
    pub fn close(mut self) {
        self.span.end();
    }
}
