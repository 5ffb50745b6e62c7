//! Runs the items of batch jobs on idle upstream slots.

mod item_input;
mod runner;

pub use item_input::ItemInput;
pub use runner::{BatchOptions, BatchRunner};
