//! `cargo xtask ci`: every check, in the order from cheap to expensive.

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
    // The tests that turn mechanisms off. The daemons are not part of this build.
    cargo(&["test", "--locked", "--package", "fuchsiabay-prove", "--features", "ablation"], &[])
}

fn check_style() -> Result<(), StepError> {
    let offences = style::offences().map_err(|error| StepError::Start("style".to_owned(), error))?;
    for offence in &offences {
        eprintln!("xtask: {offence}");
    }
    if offences.is_empty() { Ok(()) } else { Err(StepError::Style(offences.len())) }
}
