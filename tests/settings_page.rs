//! Guards against a `docs/settings.md` that differs from the schema or from the defaults and bounds
//! in the code.

use std::collections::BTreeMap;

use damaskhoist::settings::{HostSettings, NumberRule};

const SCHEMA: &str = include_str!("../schema/settings.proto");
const PAGE: &str = include_str!("../docs/settings.md");

/// Field of a schema message.
struct Field {
    name: String,
    kind: String,
    is_list: bool,
    comment: String,
}

/// Parses the schema: the fields of each message, with the comment above each field.
fn schema_messages() -> BTreeMap<String, Vec<Field>> {
    let mut messages = BTreeMap::<String, Vec<Field>>::new();
    let (mut message, mut comment) = (None, Vec::new());
    for line in SCHEMA.lines().map(str::trim) {
        if let Some(text) = line.strip_prefix("// ") {
            comment.push(text);
            continue;
        }
        let words: Vec<_> = line.split([' ', ';']).collect();
        match (words.as_slice(), &message) {
            (["message", name, ..], _) => message = Some((*name).to_owned()),
            (["enum", ..], _) => message = None,
            ([.., kind, name, "=", _, ""], Some(message)) => {
                messages.entry(message.clone()).or_default().push(Field {
                    name: (*name).to_owned(),
                    kind: (*kind).to_owned(),
                    is_list: words[0] == "repeated",
                    comment: comment.join(" "),
                });
            }
            _ => {}
        }
        comment.clear();
    }
    messages
}

/// Adds the path and comment of each field of `message` to `found`, including nested messages.
fn collect_fields(message: &str, prefix: &str, found: &mut BTreeMap<String, String>) {
    let messages = schema_messages();
    for Field { name, kind, is_list, comment } in &messages[message] {
        let path = format!("{prefix}{name}");
        let separator = if *is_list { "[]." } else { "." };
        if messages.contains_key(kind) {
            collect_fields(kind, &format!("{path}{separator}"), found);
        }
        if !messages.contains_key(kind) || *is_list {
            found.insert(path, comment.clone());
        }
    }
}

/// Parses the tables of the page: the cells unit, default, bounds and meaning by field path.
fn page_rows() -> BTreeMap<String, Vec<String>> {
    let mut rows = BTreeMap::new();
    for line in PAGE.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        let path = cells[0].trim_matches('`').to_owned();
        let cells = cells[1..].iter().map(|cell| (*cell).to_owned()).collect();
        assert!(rows.insert(path, cells).is_none(), "listed twice: {line}");
    }
    rows
}

/// Guards against a field that is missing on the page or described differently than in the schema.
#[test]
fn the_page_documents_every_schema_field() {
    let (mut found, rows) = (BTreeMap::new(), page_rows());
    collect_fields("HostSettings", "", &mut found);
    assert!(found.len() > 40);
    assert!(found.keys().eq(rows.keys()), "{:?}\n{:?}", found.keys(), rows.keys());
    for (path, meaning) in found {
        assert!(!meaning.is_empty(), "{path} has no comment in the schema");
        assert_eq!(rows[&path][3], meaning, "{path}");
    }
}

/// Guards against a default or bound that was changed in the code but not on the page.
#[test]
fn the_page_lists_unit_default_and_bounds_of_numbers() {
    let rows = page_rows();
    for rule in NumberRule::ALL {
        let [unit, default, bounds, ..] = rows[rule.path].as_slice() else { panic!() };
        assert_eq!(*default, rule.default.to_string(), "{}", rule.path);
        assert!(bounds.starts_with(&format!("{} to {}", rule.min, rule.max)), "{}", rule.path);
        let suffixes = [("_ms", "ms"), ("_bytes_per_s", "bytes/s"), ("_bytes", "bytes")];
        let expected = suffixes.iter().find(|(suffix, _)| rule.path.ends_with(suffix));
        assert_eq!(unit, expected.map_or("count", |(_, unit)| unit), "{}", rule.path);
        assert!((rule.min..=rule.max).contains(&rule.default), "{}", rule.path);
    }
    let is_number_row = |row: &&Vec<String>| row[1].parse::<u64>().is_ok() && row[0] != "share";
    assert_eq!(rows.values().filter(is_number_row).count(), NumberRule::ALL.len());
    let telemetry = HostSettings::loopback("h", "z", "r").telemetry;
    assert_eq!(rows["telemetry.log_level"][1], format!("`{}`", telemetry.log_level));
    let ratio = telemetry.span_sample_ratio.to_string();
    assert_eq!(rows["telemetry.span_sample_ratio"][1], ratio);
}

/// Guards against an example on the page that the parser rejects.
#[test]
fn the_example_of_the_page_is_accepted() {
    let example = PAGE.split("```json\n").nth(1).unwrap().split("```").next().unwrap();
    HostSettings::parse(example).unwrap();
}
