//! The settings page against the schema and the checked type.

use std::collections::BTreeMap;

use damaskhoist::settings::{HostSettings, NumberRule};

const SCHEMA: &str = include_str!("../schema/settings.proto");
const PAGE: &str = include_str!("../docs/settings.md");

struct Field {
    name: String,
    kind: String,
    is_list: bool,
    comment: String,
}

/// Fields of each message of the schema, with the comment above them.
fn messages() -> BTreeMap<String, Vec<Field>> {
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

/// Path and meaning of every field, with the fields of nested messages.
fn fields(message: &str, prefix: &str, found: &mut BTreeMap<String, String>) {
    let messages = messages();
    for Field { name, kind, is_list, comment } in &messages[message] {
        let path = format!("{prefix}{name}");
        let joint = if *is_list { "[]." } else { "." };
        if messages.contains_key(kind) {
            fields(kind, &format!("{path}{joint}"), found);
        }
        if !messages.contains_key(kind) || *is_list {
            found.insert(path, comment.clone());
        }
    }
}

/// Rows of the page by path: unit, default, bounds, meaning.
fn rows() -> BTreeMap<String, Vec<String>> {
    let mut rows = BTreeMap::new();
    for line in PAGE.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        let path = cells[0].trim_matches('`').to_owned();
        let cells = cells[1..].iter().map(|cell| (*cell).to_owned()).collect();
        assert!(rows.insert(path, cells).is_none(), "listed twice: {line}");
    }
    rows
}

/// Guards against a field that the page does not know, or knows with another meaning.
#[test]
fn every_field_of_the_schema_is_on_the_page() {
    let (mut found, rows) = (BTreeMap::new(), rows());
    fields("HostSettings", "", &mut found);
    assert!(found.len() > 40);
    assert!(found.keys().eq(rows.keys()), "{:?}\n{:?}", found.keys(), rows.keys());
    for (path, meaning) in found {
        assert!(!meaning.is_empty(), "{path} has no comment in the schema");
        assert_eq!(rows[&path][3], meaning, "{path}");
    }
}

/// Guards against a default or bound that changed in the code only.
#[test]
fn numbers_have_their_unit_default_and_bounds_on_the_page() {
    let rows = rows();
    for rule in NumberRule::ALL {
        let [unit, default, bounds, ..] = rows[rule.path].as_slice() else { panic!() };
        assert_eq!(*default, rule.default.to_string(), "{}", rule.path);
        assert!(bounds.starts_with(&format!("{} to {}", rule.least, rule.most)), "{}", rule.path);
        let suffixes = [("_ms", "ms"), ("_bytes_per_s", "bytes/s"), ("_bytes", "bytes")];
        let expected = suffixes.iter().find(|(suffix, _)| rule.path.ends_with(suffix));
        assert_eq!(unit, expected.map_or("count", |(_, unit)| unit), "{}", rule.path);
        assert!((rule.least..=rule.most).contains(&rule.default), "{}", rule.path);
    }
    let has_rule = |row: &&Vec<String>| row[1].parse::<u64>().is_ok() && row[0] != "share";
    assert_eq!(rows.values().filter(has_rule).count(), NumberRule::ALL.len());
    let telemetry = HostSettings::loopback("h", "z", "r").telemetry;
    assert_eq!(rows["telemetry.log_level"][1], format!("`{}`", telemetry.log_level));
    let ratio = telemetry.span_sample_ratio.to_string();
    assert_eq!(rows["telemetry.span_sample_ratio"][1], ratio);
}

#[test]
fn the_example_of_the_page_is_accepted() {
    let example = PAGE.split("```json\n").nth(1).unwrap().split("```").next().unwrap();
    HostSettings::parse(example).unwrap();
}
