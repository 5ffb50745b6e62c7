use std::fs;
use std::path::PathBuf;

use pico_args::Arguments;
use serde_json::{json, Value};

use crate::cmd::options::{finish, Options, OutputFormat};
use crate::cmd::text_table::cell;
use crate::cmd::{Call, Console, EntryClient, Failure, TextTable};
use crate::query::Statement;

const PROMPT: &str = "damaskhoist> ";

pub(super) async fn run(
    mut arguments: Arguments,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let options = Options::take(&mut arguments)?;
    let file: Option<PathBuf> = arguments.opt_value_from_str("--file")?;
    let mut words = Vec::new();
    while let Some(word) = arguments.opt_free_from_str::<String>()? {
        words.push(word);
    }
    finish(arguments)?;
    let mut client = EntryClient::new(&options);
    if !words.is_empty() {
        return execute(&words.join(" "), &options, &mut client, console).await;
    }
    let Some(file) = file else {
        return converse(&options, &mut client, console).await;
    };
    let text = fs::read_to_string(&file).map_err(|error| {
        let message = format!("cannot read {}: {error}", file.display());
        Failure::usage(message, "name a file with one statement a line")
    })?;
    for line in text.lines() {
        execute(line, &options, &mut client, console).await?;
    }
    Ok(())
}

/// Runs the lines of standard input; on a terminal a failure does not end the session.
async fn converse(
    options: &Options,
    client: &mut EntryClient,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    loop {
        if console.is_terminal {
            console.redraw(PROMPT);
        }
        let mut line = String::new();
        let read = console.input.read_line(&mut line).map_err(|error| {
            Failure::usage(format!("cannot read standard input: {error}"), "pass UTF-8 text")
        })?;
        if read == 0 || matches!(line.trim(), "quit" | "exit") {
            return Ok(());
        }
        match execute(&line, options, client, console).await {
            Err(failure) if console.is_terminal => super::report(&failure, console),
            outcome => outcome?,
        }
    }
}

/// Runs one statement; an empty line or a comment does nothing.
async fn execute(
    line: &str,
    options: &Options,
    client: &mut EntryClient,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let line = line.trim();
    if line.is_empty() || line.starts_with('#') {
        return Ok(());
    }
    let statement: Statement = line.parse().map_err(|error: crate::query::QueryError| {
        Failure::usage(error.to_string(), "docs/query-language.md has the grammar and examples")
    })?;
    let body = json!({ "text": statement.to_string() }).to_string();
    let call = Call::post("/v1/admin/query", body.as_bytes());
    let call = Call { is_idempotent: statement.is_read(), ..call };
    let answer = client.json(call).await?;
    if options.output == OutputFormat::Json {
        return console.line(&answer.to_string());
    }
    print(&answer, console)
}

fn print(answer: &Value, console: &mut Console) -> Result<(), Failure> {
    let columns = answer["columns"].as_array().map_or(&[][..], Vec::as_slice);
    let rows = answer["rows"].as_array().map_or(&[][..], Vec::as_slice);
    if !columns.is_empty() {
        let mut table = TextTable::new(columns.iter().map(cell));
        for row in rows {
            table.push(row.as_array().into_iter().flatten().map(cell).collect());
        }
        console.write(table.to_string().as_bytes())?;
    }
    if let Some(missing) = answer["missing_hosts"].as_array().filter(|hosts| !hosts.is_empty()) {
        let names: Vec<_> = missing.iter().map(cell).collect();
        console.note(&format!("without the hosts that did not answer: {}", names.join(", ")));
    }
    if !answer["next"].is_null() {
        console.note(&format!("there are more rows: add 'after {}'", cell(&answer["next"])));
    }
    Ok(())
}
