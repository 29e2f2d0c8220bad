//! Starts `fuchsiabay-agent`.

fn main() {}
