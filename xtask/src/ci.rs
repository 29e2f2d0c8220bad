//! `cargo xtask ci`: every check, in the order from cheap to expensive.

use crate::steps::{StepError, cargo};

/// Runs every check and stops at the first one that fails.
pub(crate) fn run() -> Result<(), StepError> {
    cargo(&["fmt", "--all", "--check"], &[])?;
    cargo(&["clippy", "--locked", "--workspace", "--all-targets", "--", "-D", "warnings"], &[])?;
    cargo(&["doc", "--locked", "--workspace", "--no-deps"], &[("RUSTDOCFLAGS", "-D warnings")])?;
    cargo(&["test", "--locked", "--workspace"], &[])
}
