use std::cmp::Ordering;
use std::fmt;

use crate::query::{Cell, Literal};

/// How a column is compared with a literal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    Greater,
    /// `>=`
    AtLeast,
    /// `contains`: the text of the cell has the text of the literal in it.
    Contains,
}

impl Comparison {
    /// Every comparison, a longer symbol before the one it starts with.
    pub const ALL: [Self; 7] = [
        Self::AtMost,
        Self::AtLeast,
        Self::NotEqual,
        Self::Equal,
        Self::Less,
        Self::Greater,
        Self::Contains,
    ];

    /// The comparison as it is written.
    pub fn symbol(self) -> &'static str {
        match self {
            Self::Equal => "=",
            Self::NotEqual => "!=",
            Self::Less => "<",
            Self::AtMost => "<=",
            Self::Greater => ">",
            Self::AtLeast => ">=",
            Self::Contains => "contains",
        }
    }

    /// Compares; an empty cell is unequal to everything and neither less nor greater.
    pub(super) fn holds(self, cell: &Cell, literal: &Literal) -> bool {
        if *cell == Cell::Null {
            return self == Self::NotEqual;
        }
        if self == Self::Contains {
            return cell.to_string().contains(&Cell::from(literal).to_string());
        }
        let ordering = cell.compare(literal);
        match self {
            Self::Equal => ordering == Ordering::Equal,
            Self::NotEqual => ordering != Ordering::Equal,
            Self::Less => ordering == Ordering::Less,
            Self::AtMost => ordering != Ordering::Greater,
            Self::Greater => ordering == Ordering::Greater,
            Self::AtLeast => ordering != Ordering::Less,
            Self::Contains => false,
        }
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.symbol())
    }
}
