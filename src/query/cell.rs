use std::cmp::Ordering;
use std::fmt;

use serde_json::{json, Value};

use crate::query::Literal;

/// A typed value in one column of a table row.
#[derive(Clone, Debug, PartialEq)]
pub enum Cell {
    /// No value.
    Null,
    /// A boolean.
    Boolean(bool),
    /// A 64-bit signed integer.
    Integer(i64),
    /// A floating-point number.
    Float(f64),
    /// A string.
    Text(String),
}

impl Cell {
    /// Compares the cell with a literal by value if both have the same type (integers and floats
    /// count as one type), otherwise by their text.
    pub(super) fn compare_to_literal(&self, literal: &Literal) -> Ordering {
        let literal = Self::from(literal);
        if self.type_rank() == literal.type_rank() {
            return self.total_cmp(&literal);
        }
        self.to_string().cmp(&literal.to_string())
    }

    /// Total order over all cells: nulls, then booleans, numbers and text.
    pub(super) fn total_cmp(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Boolean(left), Self::Boolean(right)) => left.cmp(right),
            (Self::Integer(left), Self::Integer(right)) => left.cmp(right),
            (Self::Float(left), Self::Float(right)) => {
                canonicalize(*left).total_cmp(&canonicalize(*right))
            }
            (Self::Integer(left), Self::Float(right)) => compare_integer_to_float(*left, *right),
            (Self::Float(left), Self::Integer(right)) => {
                compare_integer_to_float(*right, *left).reverse()
            }
            (Self::Text(left), Self::Text(right)) => left.cmp(right),
            _ => self.type_rank().cmp(&other.type_rank()),
        }
    }

    /// Position of the type in the total order; integers and floats share one.
    fn type_rank(&self) -> u8 {
        match self {
            Self::Null => 0,
            Self::Boolean(_) => 1,
            Self::Integer(_) | Self::Float(_) => 2,
            Self::Text(_) => 3,
        }
    }
}

impl From<&Literal> for Cell {
    fn from(literal: &Literal) -> Self {
        match literal {
            Literal::Boolean(flag) => Self::Boolean(*flag),
            Literal::Integer(number) => Self::Integer(*number),
            Literal::Float(number) => Self::Float(*number),
            Literal::Text(text) => Self::Text(text.clone()),
        }
    }
}

impl From<&str> for Cell {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<bool> for Cell {
    fn from(flag: bool) -> Self {
        Self::Boolean(flag)
    }
}

impl From<u64> for Cell {
    /// Saturates at `i64::MAX`.
    fn from(number: u64) -> Self {
        Self::Integer(i64::try_from(number).unwrap_or(i64::MAX))
    }
}

impl From<&Cell> for Value {
    fn from(cell: &Cell) -> Self {
        match cell {
            Cell::Null => Self::Null,
            Cell::Boolean(flag) => json!(flag),
            Cell::Integer(number) => json!(number),
            Cell::Float(number) => json!(number),
            Cell::Text(text) => json!(text),
        }
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => Ok(()),
            Self::Boolean(flag) => write!(formatter, "{flag}"),
            Self::Integer(number) => write!(formatter, "{number}"),
            Self::Float(number) => write!(formatter, "{number}"),
            Self::Text(text) => formatter.write_str(text),
        }
    }
}

/// Maps negative zero to zero and every NaN to one NaN, so that the order among floats agrees with
/// the order between floats and integers.
fn canonicalize(number: f64) -> f64 {
    if number.is_nan() {
        return f64::NAN;
    }
    number + 0.0
}

/// Compares without converting the integer to a float: the rounding would make the order
/// inconsistent, and a sort needs a consistent one.
fn compare_integer_to_float(integer: i64, float: f64) -> Ordering {
    // 2^63 is one above `i64::MAX` and has an exact f64 representation.
    const TWO_POW_63: f64 = 9_223_372_036_854_775_808.0;
    if float.is_nan() || float >= TWO_POW_63 {
        return Ordering::Less;
    }
    if float < -TWO_POW_63 {
        return Ordering::Greater;
    }
    integer.cmp(&(float as i64)).then(canonicalize(0.0).total_cmp(&canonicalize(float.fract())))
}
