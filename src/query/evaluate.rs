use std::cmp::Ordering;

use crate::query::{Cell, Comparison, Condition, EvaluationError, OrderKey, Page, Show, Table};

impl Show {
    /// Filters, orders and cuts the rows of a table.
    ///
    /// Rows that compare equal keep the order of the table. `after` counts the rows before it, so
    /// that pages of a table that changes between them may repeat or miss a row.
    ///
    /// # Errors
    /// A column that the table does not have, or a bad `after`.
    pub fn evaluate<'a>(&self, table: &'a Table) -> Result<Page<'a>, EvaluationError> {
        self.check_columns(table)?;
        let skipped = self.skipped()?;
        let mut rows: Vec<&[Cell]> = Vec::new();
        for row in &table.rows {
            if self.filter.as_ref().is_none_or(|filter| holds(filter, table, row)) {
                rows.push(row);
            }
        }
        rows.sort_by(|left, right| compare_rows(&self.order, table, left, right));
        let total = rows.len();
        let limit = self.limit.map_or(usize::MAX, |limit| limit as usize);
        let rows: Vec<_> = rows.into_iter().skip(skipped).take(limit).collect();
        let end = skipped.saturating_add(rows.len());
        let next = (!rows.is_empty() && end < total).then(|| end.to_string());
        Ok(Page { rows, next })
    }

    fn check_columns(&self, table: &Table) -> Result<(), EvaluationError> {
        let mut names: Vec<&str> = self.order.iter().map(|key| key.column.as_str()).collect();
        if let Some(filter) = &self.filter {
            filter.for_each_column(&mut |column| names.push(column));
        }
        let Some(unknown) = names.into_iter().find(|name| table.column(name).is_none()) else {
            return Ok(());
        };
        let known = table.columns.clone();
        Err(EvaluationError::UnknownColumn { column: unknown.to_owned(), known })
    }

    fn skipped(&self) -> Result<usize, EvaluationError> {
        let Some(after) = &self.after else { return Ok(0) };
        after.parse().map_err(|_| EvaluationError::BadCursor(after.clone()))
    }
}

fn holds(condition: &Condition, table: &Table, row: &[Cell]) -> bool {
    match condition {
        Condition::Compare(column, comparison, literal) => {
            comparison.holds(cell(column, table, row), literal)
        }
        Condition::In(column, literals) => {
            let cell = cell(column, table, row);
            literals.iter().any(|literal| Comparison::Equal.holds(cell, literal))
        }
        Condition::IsNull(column) => *cell(column, table, row) == Cell::Null,
        Condition::And(parts) => parts.iter().all(|part| holds(part, table, row)),
        Condition::Or(parts) => parts.iter().any(|part| holds(part, table, row)),
        Condition::Not(part) => !holds(part, table, row),
    }
}

fn compare_rows(order: &[OrderKey], table: &Table, left: &[Cell], right: &[Cell]) -> Ordering {
    for key in order {
        let ordering = cell(&key.column, table, left).total_order(cell(&key.column, table, right));
        if ordering == Ordering::Equal {
            continue;
        }
        return if key.descending { ordering.reverse() } else { ordering };
    }
    Ordering::Equal
}

fn cell<'a>(column: &str, table: &Table, row: &'a [Cell]) -> &'a Cell {
    table.column(column).and_then(|index| row.get(index)).unwrap_or(&Cell::Null)
}
