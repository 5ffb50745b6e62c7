use std::fmt;

/// No other control host took note of what this one would acknowledge, so the caller has to turn to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotSpread;

impl fmt::Display for NotSpread {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("no other control host took note")
    }
}

impl std::error::Error for NotSpread {}
