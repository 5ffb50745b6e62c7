use std::fmt;

/// A statement that does not fit the table it reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvaluationError {
    /// The table has no such column.
    UnknownColumn {
        /// The name in the statement.
        column: String,
        /// The columns of the table.
        known: Vec<String>,
    },
    /// The `after` is not the `next` of another page.
    BadCursor(String),
}

impl fmt::Display for EvaluationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownColumn { column, known } => {
                write!(formatter, "no column '{column}': expected {}", known.join(", "))
            }
            Self::BadCursor(after) => {
                write!(formatter, "'{after}' is not the next of another page")
            }
        }
    }
}

impl std::error::Error for EvaluationError {}
