//! The query and command language of operators: grammar, syntax tree and evaluation.
//!
//! The grammar is documented in `docs/query-language.md`.

mod cell;
mod comparison;
mod condition;
mod customer_change;
mod evaluate;
mod evaluation_error;
mod fleet_tables;
mod literal;
mod object_kind;
mod order_key;
mod page;
mod parser;
mod policy_change;
mod query_error;
mod quoting;
mod show;
mod state_tables;
mod statement;
mod table;
mod table_name;

pub use cell::Cell;
pub use comparison::Comparison;
pub use condition::Condition;
pub use customer_change::{CustomerChange, CustomerField};
pub use evaluation_error::EvaluationError;
pub use literal::Literal;
pub use object_kind::ObjectKind;
pub use order_key::OrderKey;
pub use page::Page;
pub use policy_change::{PolicyChange, PolicyField};
pub use query_error::QueryError;
pub use show::Show;
pub use statement::Statement;
pub use table::Table;
pub use table_name::TableName;
