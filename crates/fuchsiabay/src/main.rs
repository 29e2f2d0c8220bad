//! Starts `fuchsiabay`.

fn main() {}
