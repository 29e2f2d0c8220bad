//! Runs commands one after the other.

use std::{
    fmt, io,
    process::{Command, ExitStatus},
};

/// Why a step failed.
#[derive(Debug)]
pub(crate) enum StepError {
    /// The program could not be started.
    Start(String, io::Error),
    /// The program ended with an error.
    Failed(String, ExitStatus),
    /// A check did not hold.
    Check(String),
    /// Lines break the house style.
    Style(usize),
}

impl fmt::Display for StepError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(step, error) => write!(f, "cannot start `{step}`: {error}"),
            Self::Style(lines) => write!(f, "{lines} lines break the house style"),
            Self::Check(check) => f.write_str(check),
            Self::Failed(step, status) => write!(f, "`{step}` failed: {status}"),
        }
    }
}

/// Runs cargo with `args` and the environment variables `env`.
pub(crate) fn cargo(args: &[&str], env: &[(&str, &str)]) -> Result<(), StepError> {
    let step = format!("cargo {}", args.join(" "));
    eprintln!("xtask: {step}");
    let status = Command::new(env!("CARGO"))
        .args(args)
        .envs(env.iter().copied())
        .status()
        .map_err(|error| StepError::Start(step.clone(), error))?;
    if !status.success() {
        return Err(StepError::Failed(step, status));
    }
    Ok(())
}
