//! Starts `fuchsiabay-prove`.

fn main() {}
