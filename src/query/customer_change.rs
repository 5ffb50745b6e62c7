use std::fmt;

use crate::schema::config::Customer;

/// A numeric setting of a customer that `set customer` changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CustomerField {
    /// Share of capacity relative to other customers.
    Weight,
    /// Maximum online requests per second; 0 for no limit.
    RequestsPerSecond,
    /// Maximum tokens per second; 0 for no limit.
    TokensPerSecond,
    /// Maximum concurrent requests; 0 for no limit.
    ConcurrentRequests,
}

impl CustomerField {
    /// Every field.
    pub const ALL: [Self; 4] =
        [Self::Weight, Self::RequestsPerSecond, Self::TokensPerSecond, Self::ConcurrentRequests];

    /// The name of the field in a statement, the same as in the schema.
    pub fn name(self) -> &'static str {
        match self {
            Self::Weight => "weight",
            Self::RequestsPerSecond => "requests_per_s",
            Self::TokensPerSecond => "tokens_per_s",
            Self::ConcurrentRequests => "concurrent_requests",
        }
    }
}

/// An assignment of a new value to one field of a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerChange {
    /// The field that changes.
    pub field: CustomerField,
    /// Its new value.
    pub value: u32,
}

impl CustomerChange {
    /// Sets the field of `customer` to the new value.
    pub fn apply(&self, customer: &mut Customer) {
        match self.field {
            CustomerField::Weight => customer.weight = Some(self.value),
            CustomerField::RequestsPerSecond => customer.requests_per_s = self.value,
            CustomerField::TokensPerSecond => customer.tokens_per_s = self.value,
            CustomerField::ConcurrentRequests => customer.concurrent_requests = self.value,
        }
    }
}

impl fmt::Display for CustomerChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.field.name(), self.value)
    }
}
