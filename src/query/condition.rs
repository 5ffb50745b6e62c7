use std::fmt;

use crate::query::{Cell, Comparison, Literal};

/// A condition that selects rows.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// A column compared with a literal.
    Compare(String, Comparison, Literal),
    /// A column equal to one of several literals.
    In(String, Vec<Literal>),
    /// A column whose value is null.
    IsNull(String),
    /// Conjunction of two or more conditions.
    And(Vec<Self>),
    /// Disjunction of two or more conditions.
    Or(Vec<Self>),
    /// Negation of a condition.
    Not(Box<Self>),
}

impl Condition {
    /// Calls `visit` with the name of each column in the condition.
    pub(super) fn for_each_column<'a>(&'a self, visit: &mut dyn FnMut(&'a str)) {
        match self {
            Self::Compare(column, ..) | Self::In(column, _) | Self::IsNull(column) => visit(column),
            Self::And(parts) | Self::Or(parts) => {
                parts.iter().for_each(|part| part.for_each_column(visit));
            }
            Self::Not(part) => part.for_each_column(visit),
        }
    }

    /// The text that `column` must equal in every row that matches, if the condition fixes a single
    /// one; see [`Show::required_value`](crate::query::Show::required_value).
    pub(super) fn required_value(&self, column: &str) -> Option<String> {
        match self {
            Self::Compare(name, Comparison::Equal, literal) if name == column => {
                Some(Cell::from(literal).to_string())
            }
            Self::In(name, literals) if name == column && literals.len() == 1 => {
                Some(Cell::from(&literals[0]).to_string())
            }
            Self::And(parts) => parts.iter().find_map(|part| part.required_value(column)),
            _ => None,
        }
    }

    /// Writes a part of this condition, in parentheses if the text would otherwise parse
    /// differently.
    fn write_operand(&self, part: &Self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
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
        separator: &str,
        formatter: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        for (index, part) in parts.iter().enumerate() {
            if index > 0 {
                write!(formatter, " {separator} ")?;
            }
            self.write_operand(part, formatter)?;
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
                self.write_operand(part, formatter)
            }
        }
    }
}
