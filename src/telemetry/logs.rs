//! Logs on standard error, as text or as JSON lines.

use std::fmt;
use std::io;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Record, SetLoggerError};
use serde_json::json;

/// Shape of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Time, level, module and message in one line.
    Text,
    /// One JSON object a line.
    Json,
}

/// Starts logging at `level`: error, warn, info, debug or trace. Another level means info.
///
/// # Errors
/// Logging was opened before in this process.
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
