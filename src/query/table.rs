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

    /// The row with `id` in its first column, one field a row; none without such a row.
    pub fn describe(&self, id: &str) -> Option<Self> {
        let is_wanted = |row: &&Vec<Cell>| row.first().is_some_and(|cell| cell.to_string() == id);
        let row = self.rows.iter().find(is_wanted)?;
        let mut fields = Self::new(&["field", "value"]);
        for (column, cell) in self.columns.iter().zip(row) {
            fields.rows.push(vec![Cell::from(column.as_str()), cell.clone()]);
        }
        Some(fields)
    }

    /// Index of a column.
    pub(super) fn column(&self, name: &str) -> Option<usize> {
        self.columns.iter().position(|column| column == name)
    }
}
