use std::fmt;

use crate::query::quoting::identifier;
use crate::query::{Condition, OrderKey, TableName};

/// A read of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    /// The table read.
    pub table: TableName,
    /// What rows must satisfy; all rows without one.
    pub filter: Option<Condition>,
    /// Columns that the rows are ordered by, the first one leading.
    pub order: Vec<OrderKey>,
    /// Largest number of rows.
    pub limit: Option<u32>,
    /// The `next` of the page before.
    pub after: Option<String>,
}

impl Show {
    /// The text that every selected row has in `column`, when the filter says so.
    ///
    /// A reader uses it to fetch one job's items, say, rather than all of them.
    pub fn fixed_text(&self, column: &str) -> Option<String> {
        self.filter.as_ref().and_then(|filter| filter.fixed_text(column))
    }
}

impl fmt::Display for Show {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "show {}", self.table)?;
        if let Some(filter) = &self.filter {
            write!(formatter, " where {filter}")?;
        }
        for (index, key) in self.order.iter().enumerate() {
            let joint = if index == 0 { " order by" } else { "," };
            write!(formatter, "{joint} {key}")?;
        }
        if let Some(limit) = self.limit {
            write!(formatter, " limit {limit}")?;
        }
        if let Some(after) = &self.after {
            write!(formatter, " after {}", identifier(after))?;
        }
        Ok(())
    }
}
