use std::fmt;

use crate::query::quoting::{identifier, quoted};

/// A value written in a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Literal {
    /// `true` or `false`.
    Flag(bool),
    /// A whole number.
    Number(i64),
    /// A finite number with a fraction.
    Decimal(f64),
    /// A word or quoted text.
    Text(String),
}

impl Literal {
    /// Reads a word without quotes; none when it is a number out of range.
    pub(super) fn from_word(word: &str) -> Option<Self> {
        let digits = word.strip_prefix('-').unwrap_or(word);
        let (whole, fraction) = digits.split_once('.').unwrap_or((digits, "0"));
        let is_digits =
            |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        if !is_digits(whole) || !is_digits(fraction) {
            return Some(match word {
                "true" => Self::Flag(true),
                "false" => Self::Flag(false),
                text => Self::Text(text.to_owned()),
            });
        }
        if whole.len() == digits.len() {
            return word.parse().ok().map(Self::Number);
        }
        word.parse().ok().filter(|number: &f64| number.is_finite()).map(Self::Decimal)
    }
}

impl fmt::Display for Literal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Flag(flag) => write!(formatter, "{flag}"),
            Self::Number(number) => write!(formatter, "{number}"),
            Self::Decimal(number) if number.fract() == 0.0 => write!(formatter, "{number}.0"),
            Self::Decimal(number) => write!(formatter, "{number}"),
            // Quotes tell text that looks like a number or a flag from these.
            Self::Text(text) if Self::from_word(text).as_ref() != Some(self) => {
                formatter.write_str(&quoted(text))
            }
            Self::Text(text) => formatter.write_str(&identifier(text)),
        }
    }
}
