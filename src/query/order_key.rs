use std::fmt;

/// A column that rows are ordered by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderKey {
    /// Name of the column.
    pub column: String,
    /// Largest first.
    pub descending: bool,
}

impl fmt::Display for OrderKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.column)?;
        if self.descending {
            formatter.write_str(" desc")?;
        }
        Ok(())
    }
}
