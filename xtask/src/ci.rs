//! `cargo xtask ci`: every check, from the cheapest to the most expensive.

use crate::{
    known_red,
    steps::{StepError, cargo},
    style,
};

/// Runs every check and stops at the first one that fails.
pub(crate) fn run() -> Result<(), StepError> {
    cargo(&["fmt", "--all", "--check"], &[])?;
    check_style()?;
    cargo(&["clippy", "--locked", "--workspace", "--all-targets", "--", "-D", "warnings"], &[])?;
    cargo(&["doc", "--locked", "--workspace", "--no-deps"], &[("RUSTDOCFLAGS", "-D warnings")])?;
    let known_red = known_red::read()?;
    let skip_args = known_red::skip_args(&known_red);
    cargo(&[&["test", "--locked", "--workspace"], skip_args.as_slice()].concat(), &[])?;
    // Tests that disable mechanisms need the feature `ablation`. This build leaves out the daemons, which must not have
    // it.
    let ablation = ["test", "--locked", "--package", "fuchsiabay-prove", "--features", "ablation"];
    cargo(&[&ablation, skip_args.as_slice()].concat(), &[])
}

fn check_style() -> Result<(), StepError> {
    let violations = style::violations().map_err(|error| StepError::Io("style".to_owned(), error))?;
    for violation in &violations {
        eprintln!("xtask: {violation}");
    }
    if violations.is_empty() { Ok(()) } else { Err(StepError::Style(violations.len())) }
}
