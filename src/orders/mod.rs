//! Orders that tell upstreams which models to load, sent by one controller per service at a time.

mod controller;
mod order_lease;
mod order_plan;

pub use controller::{OrderController, OrderParts};
pub use order_lease::OrderLease;
pub use order_plan::{Order, OrderKind, OrderPlan, OrderTarget, WantedModel};
