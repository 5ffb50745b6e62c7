use std::fmt;

use crate::schema::config::Policy;

/// A numeric setting of the policy that `set policy` changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyField {
    /// Trade-off between online tail latency (0) and batch throughput (100).
    BatchYield,
    /// Maximum share of requests that may be retries, in percent.
    RetryBudgetPercent,
    /// Maximum share of a service's upstreams that may be ejected, in percent.
    EjectionLimitPercent,
    /// Longest time in milliseconds from sending an order to an upstream until it takes effect.
    OrderFlightMs,
}

impl PolicyField {
    /// Every field.
    pub const ALL: [Self; 4] = [
        Self::BatchYield,
        Self::RetryBudgetPercent,
        Self::EjectionLimitPercent,
        Self::OrderFlightMs,
    ];

    /// The name of the field in a statement, the same as in the schema.
    pub fn name(self) -> &'static str {
        match self {
            Self::BatchYield => "batch_yield",
            Self::RetryBudgetPercent => "retry_budget_percent",
            Self::EjectionLimitPercent => "ejection_limit_percent",
            Self::OrderFlightMs => "order_flight_ms",
        }
    }
}

/// An assignment of a new value to one field of the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyChange {
    /// The field that changes.
    pub field: PolicyField,
    /// Its new value.
    pub value: u32,
}

impl PolicyChange {
    /// Sets the field of `policy` to the new value.
    pub fn apply(&self, policy: &mut Policy) {
        let field = match self.field {
            PolicyField::BatchYield => &mut policy.batch_yield,
            PolicyField::RetryBudgetPercent => &mut policy.retry_budget_percent,
            PolicyField::EjectionLimitPercent => &mut policy.ejection_limit_percent,
            PolicyField::OrderFlightMs => &mut policy.order_flight_ms,
        };
        *field = Some(self.value);
    }
}

impl fmt::Display for PolicyChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.field.name(), self.value)
    }
}
