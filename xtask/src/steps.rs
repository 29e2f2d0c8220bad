//! The steps of a task and their errors.

use std::{
    fmt, io,
    process::{Command, ExitStatus},
};

/// Why a step failed.
#[derive(Debug)]
pub(crate) enum StepError {
    /// An I/O operation failed, such as starting a program.
    Io(String, io::Error),
    /// A program exited with an error.
    ExitStatus(String, ExitStatus),
    /// A check of the task failed.
    Check(String),
    /// The number of violations of the house style.
    Style(usize),
}

impl fmt::Display for StepError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(step, error) => write!(f, "`{step}` failed: {error}"),
            Self::Style(count) => write!(f, "found {count} violations of the house style"),
            Self::Check(check) => f.write_str(check),
            Self::ExitStatus(step, status) => write!(f, "`{step}` failed: {status}"),
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
        .map_err(|error| StepError::Io(step.clone(), error))?;
    if !status.success() {
        return Err(StepError::ExitStatus(step, status));
    }
    Ok(())
}
