use std::cmp::Ordering;
use std::fmt;

use serde_json::{json, Value};

use crate::query::Literal;

/// A typed value of a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Cell {
    /// No value.
    Null,
    /// Yes or no.
    Flag(bool),
    /// A whole number.
    Number(i64),
    /// A number with a fraction.
    Decimal(f64),
    /// Text.
    Text(String),
}

impl Cell {
    /// Compares with a literal: as numbers when both are, else by their text.
    pub(super) fn compare(&self, literal: &Literal) -> Ordering {
        let literal = Self::from(literal);
        if self.kind_rank() == literal.kind_rank() {
            return self.total_order(&literal);
        }
        self.to_string().cmp(&literal.to_string())
    }

    /// Total order over all cells: empty ones, flags, numbers, text.
    pub(super) fn total_order(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Flag(left), Self::Flag(right)) => left.cmp(right),
            (Self::Number(left), Self::Number(right)) => left.cmp(right),
            (Self::Decimal(left), Self::Decimal(right)) => normal(*left).total_cmp(&normal(*right)),
            (Self::Number(left), Self::Decimal(right)) => compare_exactly(*left, *right),
            (Self::Decimal(left), Self::Number(right)) => compare_exactly(*right, *left).reverse(),
            (Self::Text(left), Self::Text(right)) => left.cmp(right),
            _ => self.kind_rank().cmp(&other.kind_rank()),
        }
    }

    fn kind_rank(&self) -> u8 {
        match self {
            Self::Null => 0,
            Self::Flag(_) => 1,
            Self::Number(_) | Self::Decimal(_) => 2,
            Self::Text(_) => 3,
        }
    }
}

impl From<&Literal> for Cell {
    fn from(literal: &Literal) -> Self {
        match literal {
            Literal::Flag(flag) => Self::Flag(*flag),
            Literal::Number(number) => Self::Number(*number),
            Literal::Decimal(number) => Self::Decimal(*number),
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
        Self::Flag(flag)
    }
}

impl From<u64> for Cell {
    /// Numbers above the largest `i64` become that.
    fn from(number: u64) -> Self {
        Self::Number(i64::try_from(number).unwrap_or(i64::MAX))
    }
}

impl From<&Cell> for Value {
    fn from(cell: &Cell) -> Self {
        match cell {
            Cell::Null => Self::Null,
            Cell::Flag(flag) => json!(flag),
            Cell::Number(number) => json!(number),
            Cell::Decimal(number) => json!(number),
            Cell::Text(text) => json!(text),
        }
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => Ok(()),
            Self::Flag(flag) => write!(formatter, "{flag}"),
            Self::Number(number) => write!(formatter, "{number}"),
            Self::Decimal(number) => write!(formatter, "{number}"),
            Self::Text(text) => formatter.write_str(text),
        }
    }
}

/// One zero and one NaN, so that the order agrees with the one between decimals and integers.
fn normal(number: f64) -> f64 {
    if number.is_nan() {
        return f64::NAN;
    }
    number + 0.0
}

/// Compares without rounding the integer, which a sort needs for a consistent order.
fn compare_exactly(whole: i64, decimal: f64) -> Ordering {
    // 2^63, one above the largest i64, is exact as f64.
    const ABOVE_ALL: f64 = 9_223_372_036_854_775_808.0;
    if decimal.is_nan() || decimal >= ABOVE_ALL {
        return Ordering::Less;
    }
    if decimal < -ABOVE_ALL {
        return Ordering::Greater;
    }
    whole.cmp(&(decimal as i64)).then(normal(0.0).total_cmp(&normal(decimal.fract())))
}
