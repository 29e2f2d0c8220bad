//! Starts `fuchsiabay-entry`.

fn main() {}
