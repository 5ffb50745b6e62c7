use crate::query::Cell;

/// One page of the rows that a statement selects from a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Page<'a> {
    /// Rows in the order of the statement.
    pub rows: Vec<&'a [Cell]>,
    /// Value of `after` that reads the next page; `None` on the last page.
    pub next: Option<String>,
}
