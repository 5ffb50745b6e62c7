use std::path::PathBuf;

use pico_args::Arguments;
use serde_json::json;

use crate::cmd::json_lines::read_lines;
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
        spans.extend(read_lines(path, &keep)?);
    }
    Ok(spans)
}
