use std::fmt;

use serde_json::Value;

/// Columns and rows that print aligned.
#[derive(Clone, Debug, Default)]
pub struct TextTable {
    columns: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// A table with the given head.
    pub fn new(columns: impl IntoIterator<Item = impl Into<String>>) -> Self {
        Self { columns: columns.into_iter().map(Into::into).collect(), rows: Vec::new() }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// A table of JSON objects; `first` names the columns that lead.
    pub fn of_objects(objects: &[Value], first: &[&str]) -> Self {
        let mut columns: Vec<String> = Vec::new();
        for name in first {
            if objects.iter().any(|object| object.get(name).is_some()) {
                columns.push((*name).to_owned());
            }
        }
        for object in objects {
            let Some(fields) = object.as_object() else { continue };
            for name in fields.keys() {
                if !columns.contains(name) {
                    columns.push(name.clone());
                }
            }
        }
        let mut table = Self::new(columns.iter().cloned());
        for object in objects {
            table.push(columns.iter().map(|name| cell(&object[name.as_str()])).collect());
        }
        table
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(self.columns[column].chars().count())
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<_> = (0..self.columns.len()).map(|column| self.width(column)).collect();
        let head: Vec<_> = self.columns.iter().map(|name| name.to_uppercase()).collect();
        for row in std::iter::once(&head).chain(&self.rows) {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Text of a JSON value in a cell. Control characters of foreign text must not reach a terminal.
pub(super) fn cell(value: &Value) -> String {
    let text = match value {
        Value::Null => return "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    };
    text.chars().map(|letter| if letter.is_control() { ' ' } else { letter }).collect()
}
