//! The command line of operators and callers.

fn main() {}
