use std::fmt;

use crate::query::quoting::format_identifier;
use crate::query::{Condition, OrderKey, TableName};

/// A `show` statement, which reads rows of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    /// The table to read.
    pub table: TableName,
    /// Condition on the rows; `None` selects all rows.
    pub filter: Option<Condition>,
    /// Sort keys, the most significant first.
    pub order: Vec<OrderKey>,
    /// Maximum number of rows on the page.
    pub limit: Option<u32>,
    /// The `next` cursor of the previous page.
    pub after: Option<String>,
}

impl Show {
    /// The text that `column` must equal in every selected row; `None` if the filter does not fix a
    /// single value.
    ///
    /// It narrows a read of the replicated state, for example to the items of one job.
    pub fn required_value(&self, column: &str) -> Option<String> {
        self.filter.as_ref().and_then(|filter| filter.required_value(column))
    }
}

impl fmt::Display for Show {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "show {}", self.table)?;
        if let Some(filter) = &self.filter {
            write!(formatter, " where {filter}")?;
        }
        for (index, key) in self.order.iter().enumerate() {
            let separator = if index == 0 { " order by" } else { "," };
            write!(formatter, "{separator} {key}")?;
        }
        if let Some(limit) = self.limit {
            write!(formatter, " limit {limit}")?;
        }
        if let Some(after) = &self.after {
            write!(formatter, " after {}", format_identifier(after))?;
        }
        Ok(())
    }
}
