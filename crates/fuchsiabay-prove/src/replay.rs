//! Replay of a trace against its stated outcome.

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
    /// The trace turns off a mechanism that does not exist.
    #[error("there is no mechanism {0:?}")]
    UnknownMechanism(String),
    /// The trace turns off a mechanism, which this build cannot do.
    #[error(
        "the trace turns a mechanism off, which needs the feature `ablation`; use `cargo xtask prove replay`"
    )]
    NeedsAblation,
}

/// A replayed trace.
#[derive(Clone, Debug)]
pub struct Replay {
    /// What the trace states.
    pub expected: Outcome,
    /// What the replay led to.
    pub observed: Outcome,
}

impl Replay {
    /// Returns whether the trace states what was observed.
    pub fn matches(&self) -> bool {
        self.expected == self.observed
    }

    /// Returns a line for each difference.
    pub fn differences(&self) -> Vec<String> {
        let mut lines = Vec::new();
        if self.expected.violations != self.observed.violations {
            lines.push(format!("stated violations: {:?}", self.expected.violations));
            lines.push(format!("observed violations: {:?}", self.observed.violations));
        }
        for (subject, stated) in &self.expected.facts {
            match self.observed.facts.get(subject) {
                Some(observed) if observed == stated => {}
                Some(observed) => lines.push(format!("{subject}: stated {stated}, observed {observed}")),
                None => lines.push(format!("{subject}: stated {stated}, not observed")),
            }
        }
        for (subject, observed) in &self.observed.facts {
            if !self.expected.facts.contains_key(subject) {
                lines.push(format!("{subject}: not stated, observed {observed}"));
            }
        }
        lines
    }
}

/// Replays the trace in `file` and compares what happens with what it states.
///
/// # Errors
///
/// Fails when the file is no trace, or when it turns off a mechanism and this build cannot.
pub fn replay(file: &Path) -> Result<Replay, ReplayError> {
    let trace = Trace::read(file)?;
    let observed = trace.run()?;
    Ok(Replay { expected: trace.expected, observed })
}
