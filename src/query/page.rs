use crate::query::Cell;

/// The rows of a table that a statement selects.
#[derive(Clone, Debug, PartialEq)]
pub struct Page<'a> {
    /// Rows in their order.
    pub rows: Vec<&'a [Cell]>,
    /// What `after` takes to read the rows behind these; none at the end.
    pub next: Option<String>,
}
