//! `cargo xtask prove`: randomised runs of the decision code on virtual time.

use crate::steps::{StepError, cargo};

/// Runs `fuchsiabay-prove` with `args`. Only this package is built, because building the whole workspace with the
/// feature `ablation` would also compile the switches that disable mechanisms into the daemons.
pub(crate) fn run(args: &[String]) -> Result<(), StepError> {
    let mut all: Vec<&str> =
        "run --locked --quiet --release --package fuchsiabay-prove --features ablation --"
            .split(' ')
            .collect();
    all.extend(args.iter().map(String::as_str));
    cargo(&all, &[])
}
