use crate::query::Cell;

/// A table of rows with named columns.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Names of the columns, in lower case.
    pub columns: Vec<String>,
    /// Rows with one cell per column; a cell missing at the end of a row counts as null.
    pub rows: Vec<Vec<Cell>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(columns: &[&str]) -> Self {
        let columns = columns.iter().map(|name| (*name).to_owned()).collect();
        Self { columns, rows: Vec::new() }
    }

    /// The first row with `id` in its first column, as a table with one row per field; `None` if no
    /// row matches.
    pub fn describe(&self, id: &str) -> Option<Self> {
        let has_id = |row: &&Vec<Cell>| row.first().is_some_and(|cell| cell.to_string() == id);
        let row = self.rows.iter().find(has_id)?;
        let mut fields = Self::new(&["field", "value"]);
        for (column, cell) in self.columns.iter().zip(row) {
            fields.rows.push(vec![Cell::from(column.as_str()), cell.clone()]);
        }
        Some(fields)
    }

    /// Index of the column with this name.
    pub(super) fn column_index(&self, name: &str) -> Option<usize> {
        self.columns.iter().position(|column| column == name)
    }
}
