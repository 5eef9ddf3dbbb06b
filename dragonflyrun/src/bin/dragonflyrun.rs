//! Program.

fn main() {}
