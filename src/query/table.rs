use crate::query::Cell;

/// Rows under named columns.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Names of the columns, in lower case.
    pub columns: Vec<String>,
    /// Rows with one cell a column; a cell that is left out counts as empty.
    pub rows: Vec<Vec<Cell>>,
}

impl Table {
    /// A table without rows.
    pub fn new(columns: &[&str]) -> Self {
        let columns = columns.iter().map(|name| (*name).to_owned()).collect();
        Self { columns, rows: Vec::new() }
    }

    /// Index of a column.
    pub(super) fn column(&self, name: &str) -> Option<usize> {
        self.columns.iter().position(|column| column == name)
    }
}
