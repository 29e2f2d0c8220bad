//! Replay of a trace and comparison with its expected outcome.

use std::{io, path::Path};

use crate::{Outcome, Trace};

/// Why a trace cannot be replayed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ReplayError {
    /// The file cannot be read.
    #[error("the trace cannot be read: {0}")]
    Read(#[from] io::Error),
    /// The file is not a trace.
    #[error("the file is not a trace: {0}")]
    Parse(#[from] serde_json::Error),
    /// The trace disables a mechanism that does not exist.
    #[error("unknown mechanism {0:?}")]
    UnknownMechanism(String),
    /// The trace disables a mechanism, which needs the feature `ablation`.
    #[error(
        "the trace disables a mechanism, which needs the feature `ablation`; use `cargo xtask prove replay`"
    )]
    NeedsAblation,
}

/// The result of a replay.
#[derive(Clone, Debug)]
pub struct Replay {
    /// The outcome that the trace states.
    pub expected: Outcome,
    /// The outcome of the replay.
    pub observed: Outcome,
}

impl Replay {
    /// Returns whether the observed outcome is the expected one.
    pub fn matches(&self) -> bool {
        self.expected == self.observed
    }

    /// Returns a line for each difference.
    pub fn differences(&self) -> Vec<String> {
        let mut lines = Vec::new();
        if self.expected.violations != self.observed.violations {
            lines.push(format!("expected violations: {:?}", self.expected.violations));
            lines.push(format!("observed violations: {:?}", self.observed.violations));
        }
        for (subject, expected) in &self.expected.facts {
            match self.observed.facts.get(subject) {
                Some(observed) if observed == expected => {}
                Some(observed) => lines.push(format!("{subject}: expected {expected}, observed {observed}")),
                None => lines.push(format!("{subject}: expected {expected}, not observed")),
            }
        }
        for (subject, observed) in &self.observed.facts {
            if !self.expected.facts.contains_key(subject) {
                lines.push(format!("{subject}: not expected, observed {observed}"));
            }
        }
        lines
    }
}

/// Replays the trace in `file` and returns its expected and its observed outcome.
///
/// # Errors
///
/// Fails when the file is not a trace, or when the trace disables a mechanism that is unknown or that this build cannot
/// disable.
pub fn replay(file: &Path) -> Result<Replay, ReplayError> {
    let trace = Trace::read(file)?;
    let observed = trace.run()?;
    Ok(Replay { expected: trace.expected, observed })
}
