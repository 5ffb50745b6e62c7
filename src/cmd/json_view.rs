use serde_json::Value;

use crate::cmd::text_table::{cell, TextTable};

/// Columns that lead a table when the rows have them.
const LEADING_COLUMNS: [&str; 8] =
    ["host_id", "upstream_id", "id", "name", "address", "zone", "region", "status"];

/// Prints any JSON answer for people: fields in lines, lists of objects as tables.
pub(super) fn describe(value: &Value) -> String {
    let mut fields = TextTable::new(["field", "value"]);
    let mut tables = String::new();
    collect("", value, &mut fields, &mut tables);
    let fields = fields.to_string();
    // The head of the field list says nothing that the fields do not.
    let fields = fields.split_once('\n').map_or("", |(_, rows)| rows);
    let gap = if fields.is_empty() || tables.is_empty() { "" } else { "\n" };
    format!("{fields}{gap}{tables}").trim_end().to_owned()
}

fn collect(path: &str, value: &Value, fields: &mut TextTable, tables: &mut String) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                collect(&path, member, fields, tables);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let table = TextTable::of_objects(items, &LEADING_COLUMNS);
            if !path.is_empty() {
                tables.push_str(&format!("{path}:\n"));
            }
            tables.push_str(&format!("{table}\n"));
        }
        other => fields.push(vec![path.to_owned(), cell(other)]),
    }
}
