use std::fmt;

/// A syntax error in a statement and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryError {
    /// Byte offset of the error in the text.
    pub position: usize,
    /// What the parser accepts at that position.
    pub expected: String,
    text: String,
}

impl QueryError {
    pub(super) fn new(text: &str, position: usize, expected: String) -> Self {
        Self { position, expected, text: text.to_owned() }
    }
}

impl fmt::Display for QueryError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = self.text.get(..self.position).unwrap_or(&self.text);
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        let line = self.text[line_start..].lines().next().unwrap_or_default();
        let column = before[line_start..].chars().count();
        let line_number = before.matches('\n').count() + 1;
        writeln!(
            formatter,
            "line {line_number}, column {}: expected {}",
            column + 1,
            self.expected
        )?;
        writeln!(formatter, "  {line}")?;
        write!(formatter, "  {:column$}^", "")
    }
}

impl std::error::Error for QueryError {}
