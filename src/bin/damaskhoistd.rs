//! The daemon of a host.

fn main() {}
