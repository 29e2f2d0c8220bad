//! `cargo xtask ci`: every check, from the cheapest to the most expensive.

use crate::{
    steps::{StepError, cargo},
    style,
};

/// Runs every check and stops at the first one that fails.
pub(crate) fn run() -> Result<(), StepError> {
    cargo(&["fmt", "--all", "--check"], &[])?;
    check_style()?;
    cargo(&["clippy", "--locked", "--workspace", "--all-targets", "--", "-D", "warnings"], &[])?;
    cargo(&["doc", "--locked", "--workspace", "--no-deps"], &[("RUSTDOCFLAGS", "-D warnings")])?;
    cargo(&["test", "--locked", "--workspace"], &[])?;
    // Tests that disable mechanisms need the feature `ablation`. This build leaves out the daemons, which must not have
    // it.
    cargo(&["test", "--locked", "--package", "fuchsiabay-prove", "--features", "ablation"], &[])
}

fn check_style() -> Result<(), StepError> {
    let violations = style::violations().map_err(|error| StepError::Io("style".to_owned(), error))?;
    for violation in &violations {
        eprintln!("xtask: {violation}");
    }
    if violations.is_empty() { Ok(()) } else { Err(StepError::Style(violations.len())) }
}
