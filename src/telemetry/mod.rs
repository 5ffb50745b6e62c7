//! Metrics (counters, gauges and timers), trace spans and logs.

mod counters;
mod json_lines_exporter;
mod log_writer;
pub mod logs;
mod named_cells;
mod span;
mod timer;
mod tracer;

pub use counters::Counters;
pub use span::Span;
pub(crate) use timer::Timer;
pub use tracer::Tracer;
