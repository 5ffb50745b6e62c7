use std::fmt;

use crate::schema::config::Customer;

/// A number of a customer that `set customer` changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CustomerField {
    /// Share of capacity relative to other customers.
    Weight,
    /// Online requests a second; 0 for no limit.
    RequestsPerS,
    /// Tokens a second; 0 for no limit.
    TokensPerS,
    /// Requests at a time; 0 for no limit.
    ConcurrentRequests,
}

impl CustomerField {
    /// Every field.
    pub const ALL: [Self; 4] =
        [Self::Weight, Self::RequestsPerS, Self::TokensPerS, Self::ConcurrentRequests];

    /// The field as it is written, the same as in the schema.
    pub fn name(self) -> &'static str {
        match self {
            Self::Weight => "weight",
            Self::RequestsPerS => "requests_per_s",
            Self::TokensPerS => "tokens_per_s",
            Self::ConcurrentRequests => "concurrent_requests",
        }
    }
}

/// A new value of one field of a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerChange {
    /// The field that changes.
    pub field: CustomerField,
    /// Its new value.
    pub value: u32,
}

impl CustomerChange {
    /// Puts the value into a customer of the configuration.
    pub fn apply(&self, customer: &mut Customer) {
        match self.field {
            CustomerField::Weight => customer.weight = Some(self.value),
            CustomerField::RequestsPerS => customer.requests_per_s = self.value,
            CustomerField::TokensPerS => customer.tokens_per_s = self.value,
            CustomerField::ConcurrentRequests => customer.concurrent_requests = self.value,
        }
    }
}

impl fmt::Display for CustomerChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.field.name(), self.value)
    }
}
