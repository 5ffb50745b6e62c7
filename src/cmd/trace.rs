use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use pico_args::Arguments;
use serde_json::json;

use crate::cmd::options::{finish, identifier};
use crate::cmd::span_line::SpanLine;
use crate::cmd::span_tree::SpanTree;
use crate::cmd::{Console, Failure};

pub(super) fn run(mut arguments: Arguments, console: &mut Console) -> Result<(), Failure> {
    let files: Vec<PathBuf> = arguments.values_from_str("--span-file")?;
    let id = identifier(&mut arguments, "ID")?;
    finish(arguments)?;
    if files.is_empty() {
        let advice = "give --span-file FILE for each host; its settings name the file";
        return Err(Failure::usage("no span file is named", advice));
    }
    let trace_id = find_trace(&files, &id)?;
    let spans = read(&files, |span| span.trace_id == trace_id)?;
    console.line(&format!("trace {trace_id}"))?;
    for line in SpanTree::new(&spans).lines() {
        console.line(&line)?;
    }
    Ok(())
}

/// The trace that `id` names: itself, or the trace of a span with that request id.
fn find_trace(files: &[PathBuf], id: &str) -> Result<String, Failure> {
    let wanted = json!(id);
    let is_match =
        |span: &SpanLine| span.trace_id == id || span.attributes.get("request_id") == Some(&wanted);
    match read(files, is_match)?.into_iter().next() {
        Some(span) => Ok(span.trace_id),
        None => Err(Failure::failed(
            format!("no span of '{id}' is in the files"),
            "name the span files of more hosts; spans are written a few seconds after they end",
        )),
    }
}

fn read(files: &[PathBuf], keep: impl Fn(&SpanLine) -> bool) -> Result<Vec<SpanLine>, Failure> {
    let mut spans = Vec::new();
    for path in files {
        let file = File::open(path).map_err(|error| broken(path, &error.to_string()))?;
        for line in BufReader::new(file).lines() {
            let line = line.map_err(|error| broken(path, &error.to_string()))?;
            // The last line may be half written while the host runs.
            let Ok(span) = serde_json::from_str::<SpanLine>(&line) else { continue };
            if keep(&span) {
                spans.push(span);
            }
        }
    }
    Ok(spans)
}

fn broken(path: &Path, reason: &str) -> Failure {
    let message = format!("cannot read {}: {reason}", path.display());
    Failure::failed(message, "name a span file that this user may read")
}
