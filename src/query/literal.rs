use std::fmt;

use crate::query::quoting::{format_identifier, quote};

/// A value written in a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Literal {
    /// `true` or `false`.
    Boolean(bool),
    /// A 64-bit signed integer.
    Integer(i64),
    /// A finite number written with a decimal point.
    Float(f64),
    /// An unquoted word or quoted text.
    Text(String),
}

impl Literal {
    /// Parses an unquoted word; `None` if it is a number out of range.
    pub(super) fn from_word(word: &str) -> Option<Self> {
        let digits = word.strip_prefix('-').unwrap_or(word);
        let (whole, fraction) = digits.split_once('.').unwrap_or((digits, "0"));
        let is_digits =
            |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        if !is_digits(whole) || !is_digits(fraction) {
            return Some(match word {
                "true" => Self::Boolean(true),
                "false" => Self::Boolean(false),
                text => Self::Text(text.to_owned()),
            });
        }
        if whole.len() == digits.len() {
            return word.parse().ok().map(Self::Integer);
        }
        word.parse().ok().filter(|number: &f64| number.is_finite()).map(Self::Float)
    }
}

impl fmt::Display for Literal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Boolean(flag) => write!(formatter, "{flag}"),
            Self::Integer(number) => write!(formatter, "{number}"),
            Self::Float(number) if number.fract() == 0.0 => write!(formatter, "{number}.0"),
            Self::Float(number) => write!(formatter, "{number}"),
            // Text that looks like a number or a boolean is quoted, so that it parses back as text.
            Self::Text(text) if Self::from_word(text).as_ref() != Some(self) => {
                formatter.write_str(&quote(text))
            }
            Self::Text(text) => formatter.write_str(&format_identifier(text)),
        }
    }
}
