use std::env;
use std::fs;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use pico_args::Arguments;

use crate::cmd::Failure;

/// Environment variable with the addresses of entry hosts.
const ENTRY_VARIABLE: &str = "DAMASKHOIST_ENTRY";
const DEFAULT_TIMEOUT_S: u64 = 10;

/// Form of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned columns for people.
    Table,
    /// JSON for programs.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            other => Err(format!("unknown output format '{other}': use table or json")),
        }
    }
}

/// Options of every command that talks to an entry host.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of entry hosts, tried in order.
    pub entries: Vec<String>,
    /// Token shown to the entry host; empty for none.
    pub token: String,
    /// Form of the result.
    pub output: OutputFormat,
    /// Longest wait for an answer.
    pub timeout: Duration,
}

impl Options {
    /// Takes the common options off the command line.
    pub fn take(arguments: &mut Arguments) -> Result<Self, Failure> {
        let entries: Option<String> = arguments.opt_value_from_str("--entry")?;
        let entries = entries.or_else(|| env::var(ENTRY_VARIABLE).ok()).unwrap_or_default();
        let entries: Vec<_> =
            entries.split(',').map(str::trim).filter(|entry| !entry.is_empty()).collect();
        let token_file: Option<PathBuf> = arguments.opt_value_from_str("--token-file")?;
        let timeout_s = arguments.opt_value_from_str("--timeout")?.unwrap_or(DEFAULT_TIMEOUT_S);
        let output = arguments.opt_value_from_str("--output")?.unwrap_or(OutputFormat::Table);
        if entries.is_empty() {
            let advice = format!("give --entry ADDRESS:PORT or set {ENTRY_VARIABLE}");
            return Err(Failure::usage("no entry host is named", advice));
        }
        Ok(Self {
            entries: entries.into_iter().map(str::to_owned).collect(),
            token: token_file.map_or(Ok(String::new()), |file| read_token(&file))?,
            output,
            timeout: Duration::from_secs(timeout_s),
        })
    }
}

/// Ends the reading of a command line: everything left over is an error.
pub(super) fn finish(arguments: Arguments) -> Result<(), Failure> {
    let Some(extra) = arguments.finish().into_iter().next() else { return Ok(()) };
    let message = format!("unexpected argument '{}'", extra.to_string_lossy());
    Err(Failure::usage(message, "run the command with --help to see its options"))
}

/// Takes a positional argument that must be there.
pub(super) fn positional(arguments: &mut Arguments, name: &str) -> Result<String, Failure> {
    let value: Option<String> = arguments.opt_free_from_str()?;
    match value {
        Some(value) if value.starts_with("--") => Err(Failure::usage(
            format!("unexpected option '{value}'"),
            "run the command with --help to see its options",
        )),
        Some(value) => Ok(value),
        None => Err(Failure::usage(
            format!("{name} is missing"),
            "run the command with --help to see its arguments",
        )),
    }
}

/// Takes an identifier that goes into a path.
pub(super) fn identifier(arguments: &mut Arguments, name: &str) -> Result<String, Failure> {
    let value = positional(arguments, name)?;
    let is_known = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if value.is_empty() || !value.bytes().all(is_known) {
        let message = format!("'{value}' is not an identifier");
        return Err(Failure::usage(message, "use letters, digits, '-', '_', '.' and ':'"));
    }
    Ok(value)
}

fn read_token(file: &PathBuf) -> Result<String, Failure> {
    let text = fs::read_to_string(file).map_err(|error| {
        let message = format!("cannot read the token in {}: {error}", file.display());
        Failure::usage(message, "give --token-file a file that holds one token")
    })?;
    Ok(text.trim().to_owned())
}
