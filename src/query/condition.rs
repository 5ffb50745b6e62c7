use std::fmt;

use crate::query::{Cell, Comparison, Literal};

/// What a row must satisfy.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// A column compared with a literal.
    Compare(String, Comparison, Literal),
    /// A column equal to one of several literals.
    In(String, Vec<Literal>),
    /// A column without a value.
    IsNull(String),
    /// All of two or more conditions.
    And(Vec<Self>),
    /// One of two or more conditions.
    Or(Vec<Self>),
    /// The opposite of a condition.
    Not(Box<Self>),
}

impl Condition {
    /// Calls `visit` with each column named.
    pub(super) fn for_each_column<'a>(&'a self, visit: &mut dyn FnMut(&'a str)) {
        match self {
            Self::Compare(column, ..) | Self::In(column, _) | Self::IsNull(column) => visit(column),
            Self::And(parts) | Self::Or(parts) => {
                parts.iter().for_each(|part| part.for_each_column(visit));
            }
            Self::Not(part) => part.for_each_column(visit),
        }
    }

    pub(super) fn fixed_text(&self, column: &str) -> Option<String> {
        match self {
            Self::Compare(name, Comparison::Equal, literal) if name == column => {
                Some(Cell::from(literal).to_string())
            }
            Self::In(name, literals) if name == column && literals.len() == 1 => {
                Some(Cell::from(&literals[0]).to_string())
            }
            Self::And(parts) => parts.iter().find_map(|part| part.fixed_text(column)),
            _ => None,
        }
    }

    /// Writes a part of this condition, in parentheses when it binds less tightly.
    fn write_part(&self, part: &Self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_bare = match (self, part) {
            (_, Self::Or(_)) => false,
            (outer, Self::And(_)) => matches!(outer, Self::Or(_)),
            _ => true,
        };
        if is_bare {
            return write!(formatter, "{part}");
        }
        write!(formatter, "({part})")
    }

    fn write_joined(
        &self,
        parts: &[Self],
        joint: &str,
        formatter: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        for (index, part) in parts.iter().enumerate() {
            if index > 0 {
                write!(formatter, " {joint} ")?;
            }
            self.write_part(part, formatter)?;
        }
        Ok(())
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compare(column, comparison, literal) => {
                write!(formatter, "{column} {comparison} {literal}")
            }
            Self::In(column, literals) => {
                let literals: Vec<_> = literals.iter().map(Literal::to_string).collect();
                write!(formatter, "{column} in ({})", literals.join(", "))
            }
            Self::IsNull(column) => write!(formatter, "{column} is null"),
            Self::And(parts) => self.write_joined(parts, "and", formatter),
            Self::Or(parts) => self.write_joined(parts, "or", formatter),
            Self::Not(part) => {
                formatter.write_str("not ")?;
                self.write_part(part, formatter)
            }
        }
    }
}
