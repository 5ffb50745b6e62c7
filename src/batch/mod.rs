//! Runs the items of jobs on idle slots.

mod item_input;
mod runner;

pub use item_input::ItemInput;
pub use runner::{BatchOptions, BatchRunner};
