use serde_json::{json, Value};

use crate::query::Cell;

/// The result of a statement as a table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdminAnswer {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows with one cell per column.
    pub rows: Vec<Vec<Cell>>,
    /// Value of `after` that reads the next page; `None` on the last page.
    pub next: Option<String>,
    /// Time of the read, or of its start if it spans several calls, in milliseconds since the Unix
    /// epoch.
    pub fresh_as_of_unix_ms: u64,
    /// Hosts that did not answer, so that their data is missing from the rows.
    pub missing_hosts: Vec<String>,
}

impl AdminAnswer {
    /// The answer to a statement that changes something: one row that states what was done.
    pub fn single_row(columns: &[&str], cells: Vec<Cell>, now_unix_ms: u64) -> Self {
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
