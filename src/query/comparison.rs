use std::cmp::Ordering;
use std::fmt;

use crate::query::{Cell, Literal};

/// An operator that compares a column with a literal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `contains`: the text of the cell includes the text of the literal.
    Contains,
}

impl Comparison {
    /// Every operator. `<=` and `>=` come before `<` and `>`, so that the parser, which tries them
    /// in this order, matches the longer symbol first.
    pub const ALL: [Self; 7] = [
        Self::LessOrEqual,
        Self::GreaterOrEqual,
        Self::NotEqual,
        Self::Equal,
        Self::Less,
        Self::Greater,
        Self::Contains,
    ];

    /// The operator as written in a statement.
    pub fn symbol(self) -> &'static str {
        match self {
            Self::Equal => "=",
            Self::NotEqual => "!=",
            Self::Less => "<",
            Self::LessOrEqual => "<=",
            Self::Greater => ">",
            Self::GreaterOrEqual => ">=",
            Self::Contains => "contains",
        }
    }

    /// Whether the comparison is true for the cell. A null cell satisfies only `!=`.
    pub(super) fn matches(self, cell: &Cell, literal: &Literal) -> bool {
        if *cell == Cell::Null {
            return self == Self::NotEqual;
        }
        if self == Self::Contains {
            return cell.to_string().contains(&Cell::from(literal).to_string());
        }
        let ordering = cell.compare_to_literal(literal);
        match self {
            Self::Equal => ordering == Ordering::Equal,
            Self::NotEqual => ordering != Ordering::Equal,
            Self::Less => ordering == Ordering::Less,
            Self::LessOrEqual => ordering != Ordering::Greater,
            Self::Greater => ordering == Ordering::Greater,
            Self::GreaterOrEqual => ordering != Ordering::Less,
            Self::Contains => false,
        }
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.symbol())
    }
}
