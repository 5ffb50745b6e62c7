//! Log output: diagnostics on standard error as text or JSON lines, and decision records on
//! standard output as JSON lines.

use std::fmt;
use std::io;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record, SetLoggerError};
use serde_json::json;

use crate::telemetry::log_writer::LogWriter;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Unix time in seconds, level, target and message, separated by spaces.
    Text,
    /// One JSON object per line.
    Json,
}

/// Installs a global logger that writes to standard error at `level`: error, warn, info, debug or
/// trace. An unrecognized level is treated as info.
///
/// # Errors
/// A global logger is already installed in this process.
pub fn open(level: &str, format: LogFormat) -> Result<(), SetLoggerError> {
    let write_line = match format {
        LogFormat::Text => text_line,
        LogFormat::Json => json_line,
    };
    fern::Dispatch::new()
        .level(LevelFilter::from_str(level).unwrap_or(LevelFilter::Info))
        .format(move |out, message, record| {
            out.finish(format_args!("{}", write_line(message, record)));
        })
        .chain(io::stderr())
        .apply()
}

/// Installs a global logger that writes decision records to standard output: one JSON object per
/// line, with the key-value pairs of the log call as fields. When standard output is too slow,
/// lines are dropped and the number of dropped lines is logged.
///
/// # Errors
/// A global logger is already installed in this process, or the writer thread cannot be started.
pub fn open_records(level: &str) -> io::Result<()> {
    let writer = LogWriter::spawn()?;
    fern::Dispatch::new()
        .level(LevelFilter::from_str(level).unwrap_or(LevelFilter::Info))
        .chain(fern::Output::call(move |record| writer.write(record_line(record))))
        .apply()
        .map_err(io::Error::other)
}

/// Formats a record as JSON: time, level, key-value pairs and message.
fn record_line(record: &Record) -> String {
    let mut fields = Fields(serde_json::Map::new());
    fields.0.insert("unix_ms".into(), unix_ms().into());
    fields.0.insert("level".into(), record.level().as_str().into());
    // `Fields::visit_pair` never returns an error.
    let _ = record.key_values().visit(&mut fields);
    fields.0.insert("message".into(), record.args().to_string().into());
    serde_json::Value::Object(fields.0).to_string()
}

/// Collects the key-value pairs of a record as JSON values.
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'a> VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), log::kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn text_line(message: &fmt::Arguments, record: &Record) -> String {
    let ms = unix_ms();
    let (seconds, ms) = (ms / 1_000, ms % 1_000);
    format!("{seconds}.{ms:03} {:5} {} {message}", record.level(), record.target())
}

fn json_line(message: &fmt::Arguments, record: &Record) -> String {
    json!({
        "unix_ms": unix_ms(),
        "level": record.level().as_str(),
        "target": record.target(),
        "message": message.to_string(),
    })
    .to_string()
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
