use std::cmp::Ordering;

use crate::query::{Cell, Comparison, Condition, EvaluationError, OrderKey, Page, Show, Table};

impl Show {
    /// Filters and sorts the rows of a table and returns one page of them.
    ///
    /// The sort is stable. `after` is the number of selected rows to skip, so consecutive pages may
    /// repeat or miss a row if the table changes between the two reads.
    ///
    /// # Errors
    /// Fails if the statement names a column that the table does not have, or if `after` is not a
    /// row count.
    pub fn evaluate<'a>(&self, table: &'a Table) -> Result<Page<'a>, EvaluationError> {
        self.check_columns(table)?;
        let start_offset = self.start_offset()?;
        let mut rows: Vec<&[Cell]> = Vec::new();
        for row in &table.rows {
            if self.filter.as_ref().is_none_or(|filter| matches_row(filter, table, row)) {
                rows.push(row);
            }
        }
        rows.sort_by(|left, right| compare_rows(&self.order, table, left, right));
        let total = rows.len();
        let limit = self.limit.map_or(usize::MAX, |limit| limit as usize);
        let rows: Vec<_> = rows.into_iter().skip(start_offset).take(limit).collect();
        let end = start_offset.saturating_add(rows.len());
        let next = (!rows.is_empty() && end < total).then(|| end.to_string());
        Ok(Page { rows, next })
    }

    fn check_columns(&self, table: &Table) -> Result<(), EvaluationError> {
        let mut names: Vec<&str> = self.order.iter().map(|key| key.column.as_str()).collect();
        if let Some(filter) = &self.filter {
            filter.for_each_column(&mut |column| names.push(column));
        }
        let Some(unknown_column) =
            names.into_iter().find(|name| table.column_index(name).is_none())
        else {
            return Ok(());
        };
        let known = table.columns.clone();
        Err(EvaluationError::UnknownColumn { column: unknown_column.to_owned(), known })
    }

    /// Number of selected rows before the page.
    fn start_offset(&self) -> Result<usize, EvaluationError> {
        let Some(after) = &self.after else { return Ok(0) };
        after.parse().map_err(|_| EvaluationError::InvalidCursor(after.clone()))
    }
}

fn matches_row(condition: &Condition, table: &Table, row: &[Cell]) -> bool {
    match condition {
        Condition::Compare(column, comparison, literal) => {
            comparison.matches(cell_in_row(column, table, row), literal)
        }
        Condition::In(column, literals) => {
            let cell = cell_in_row(column, table, row);
            literals.iter().any(|literal| Comparison::Equal.matches(cell, literal))
        }
        Condition::IsNull(column) => *cell_in_row(column, table, row) == Cell::Null,
        Condition::And(parts) => parts.iter().all(|part| matches_row(part, table, row)),
        Condition::Or(parts) => parts.iter().any(|part| matches_row(part, table, row)),
        Condition::Not(part) => !matches_row(part, table, row),
    }
}

fn compare_rows(order: &[OrderKey], table: &Table, left: &[Cell], right: &[Cell]) -> Ordering {
    for key in order {
        let ordering =
            cell_in_row(&key.column, table, left).total_cmp(cell_in_row(&key.column, table, right));
        if ordering == Ordering::Equal {
            continue;
        }
        return if key.descending { ordering.reverse() } else { ordering };
    }
    Ordering::Equal
}

/// The cell of a column; null if the row is too short to have it.
fn cell_in_row<'a>(column: &str, table: &Table, row: &'a [Cell]) -> &'a Cell {
    table.column_index(column).and_then(|index| row.get(index)).unwrap_or(&Cell::Null)
}
