//! Starts `fuchsiabay-bench`.

fn main() {}
