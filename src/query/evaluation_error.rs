use std::fmt;

/// Why a statement cannot be evaluated on a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvaluationError {
    /// The table has no such column.
    UnknownColumn {
        /// The column named in the statement.
        column: String,
        /// The columns of the table.
        known: Vec<String>,
    },
    /// The value of `after` is not the `next` cursor of a page.
    InvalidCursor(String),
}

impl fmt::Display for EvaluationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownColumn { column, known } => {
                write!(formatter, "no column '{column}': expected {}", known.join(", "))
            }
            Self::InvalidCursor(after) => {
                write!(formatter, "'{after}' is not the next of another page")
            }
        }
    }
}

impl std::error::Error for EvaluationError {}
