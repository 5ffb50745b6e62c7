use serde_json::{json, Value};

use crate::query::Cell;

/// Rows that answer a statement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdminAnswer {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows, each with a cell for each column.
    pub rows: Vec<Vec<Cell>>,
    /// What `after` takes to read on; `None` at the end.
    pub next: Option<String>,
    /// Time of the oldest part of the rows.
    pub fresh_as_of_unix_ms: u64,
    /// Hosts that did not answer, so that their part is missing.
    pub missing_hosts: Vec<String>,
}

impl AdminAnswer {
    /// The answer of an order: one row that names what was done.
    pub fn of_order(columns: &[&str], cells: Vec<Cell>, now_unix_ms: u64) -> Self {
        Self {
            columns: columns.iter().map(|name| (*name).to_owned()).collect(),
            rows: vec![cells],
            fresh_as_of_unix_ms: now_unix_ms,
            ..Self::default()
        }
    }
}

impl From<&AdminAnswer> for Value {
    fn from(answer: &AdminAnswer) -> Self {
        let rows = answer.rows.iter().map(|row| row.iter().map(Self::from).collect::<Vec<_>>());
        json!({
            "columns": answer.columns,
            "rows": rows.collect::<Vec<_>>(),
            "next": answer.next,
            "fresh_as_of_unix_ms": answer.fresh_as_of_unix_ms,
            "missing_hosts": answer.missing_hosts,
        })
    }
}
