use std::fmt;

/// A sort key of `order by`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderKey {
    /// Name of the column.
    pub column: String,
    /// Sorts in descending order.
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
