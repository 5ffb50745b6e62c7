use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use pico_args::Arguments;
use serde_json::{Map, Value};

use crate::cmd::json_lines::read_lines;
use crate::cmd::options::{finish, identifier};
use crate::cmd::text_table::cell;
use crate::cmd::{Console, Failure, OutputFormat, TextTable};

type Record = Map<String, Value>;

/// Fields that name a request, or a job of which an item is a part.
const ID_FIELDS: [&str; 2] = ["request", "job"];
/// Fields that have columns of their own, or say the same on each line.
const SHOWN_FIELDS: [&str; 6] = ["unix_ms", "level", "event", "message", "request", "job"];

pub(super) fn run(mut arguments: Arguments, console: &mut Console) -> Result<(), Failure> {
    let files: Vec<PathBuf> = arguments.values_from_str("--log-file")?;
    let item: Option<u64> = arguments.opt_value_from_str("--item")?;
    let output = arguments.opt_value_from_str("--output")?.unwrap_or(OutputFormat::Table);
    let id = identifier(&mut arguments, "ID")?;
    finish(arguments)?;
    if files.is_empty() {
        let advice = "give --log-file FILE for the standard output of each host";
        return Err(Failure::usage("no log file is named", advice));
    }
    let records = read(&files, &id, item)?;
    if records.is_empty() {
        return Err(Failure::failed(
            format!("no line about '{id}' is in the files"),
            "name the log files of more hosts; lines may have been dropped: look for log_lines_dropped",
        ));
    }
    match output {
        OutputFormat::Table => show(&records, console),
        OutputFormat::Json => {
            for (_, record) in &records {
                console.line(&Value::Object(record.clone()).to_string())?;
            }
            Ok(())
        }
    }
}

/// All lines about a request or a job, and about the assignments of one item, in the order of time.
fn read(files: &[PathBuf], id: &str, item: Option<u64>) -> Result<Vec<(String, Record)>, Failure> {
    let is_named = |record: &Record| {
        ID_FIELDS.iter().any(|field| record.get(*field).is_some_and(|value| value == id))
    };
    let has_item = |record: &Record| match (item, record.get("item")) {
        (Some(item), Some(value)) => value.as_u64() == Some(item),
        _ => true,
    };
    let mut records = Vec::new();
    for path in files {
        let lines = read_lines(path, |record| is_named(record) && has_item(record))?;
        records.extend(lines.into_iter().map(|record| (host(path), record)));
    }
    records.sort_by_key(|(_, record)| unix_ms(record));
    Ok(records)
}

fn show(records: &[(String, Record)], console: &mut Console) -> Result<(), Failure> {
    let first = records.first().map_or(0, |(_, record)| unix_ms(record));
    let mut table = TextTable::new(["ms", "host", "event", "inputs", "outcome"]);
    for (host, record) in records {
        let inputs = record.iter().filter(|(name, _)| !SHOWN_FIELDS.contains(&name.as_str()));
        let inputs: Vec<String> =
            inputs.map(|(name, value)| format!("{name}={}", cell(value))).collect();
        let text = |name: &str| record.get(name).map(cell).unwrap_or_default();
        let after = unix_ms(record).saturating_sub(first).to_string();
        let row = vec![after, host.clone(), text("event"), inputs.join(" "), text("message")];
        table.push(row);
    }
    console.write(table.to_string().as_bytes())?;
    let hosts: BTreeSet<&str> = records.iter().map(|(host, _)| host.as_str()).collect();
    console.line(&format!("{} lines of {} hosts", records.len(), hosts.len()))
}

fn unix_ms(record: &Record) -> u64 {
    record.get("unix_ms").and_then(Value::as_u64).unwrap_or(0)
}

/// Hosts are told apart by the names of their files.
fn host(path: &Path) -> String {
    path.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default()
}
