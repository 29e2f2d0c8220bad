//! Trace files.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use crate::{Mechanism, Outcome, Promise, ReplayError, Script, case::Case};

/// A case with its expected outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// The promise that is checked.
    pub promise: Promise,
    /// The seed of all message delays.
    pub seed: u64,
    /// The mechanism that is disabled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub without: Option<String>,
    /// The calls, operations and faults of the case.
    pub script: Script,
    /// The expected outcome of the script.
    pub expected: Outcome,
}

impl Trace {
    /// Runs a case and records it with its outcome.
    pub(crate) fn record(case: &Case) -> Self {
        Self {
            promise: case.promise,
            seed: case.seed,
            without: case.without.map(|mechanism| mechanism.name.to_owned()),
            script: case.script.clone(),
            expected: case.run(),
        }
    }

    /// Reads the trace in `file`.
    ///
    /// # Errors
    ///
    /// Fails when the file is not a trace.
    pub fn read(file: &Path) -> Result<Self, ReplayError> {
        Ok(serde_json::from_slice(&fs::read(file)?)?)
    }

    /// Runs the script and returns the observed outcome.
    ///
    /// # Errors
    ///
    /// Fails when the trace disables a mechanism that is unknown or that this build cannot disable.
    pub fn run(&self) -> Result<Outcome, ReplayError> {
        let without = match &self.without {
            None => None,
            Some(_) if !cfg!(feature = "ablation") => return Err(ReplayError::NeedsAblation),
            Some(name) => {
                Some(Mechanism::find(name).ok_or_else(|| ReplayError::UnknownMechanism(name.clone()))?)
            }
        };
        let script = self.script.clone();
        Ok(Case { promise: self.promise, seed: self.seed, script, without }.run())
    }

    /// Writes the trace to a file in `dir` and returns its path.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, dir: &Path) -> io::Result<PathBuf> {
        let without = self.without.as_ref().map(|name| format!("-without-{name}")).unwrap_or_default();
        let file = dir.join(format!("{}{without}-{:016x}.json", self.promise, self.seed));
        fs::create_dir_all(dir)?;
        self.write_to(&file)?;
        Ok(file)
    }

    /// Writes the trace to `file`.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write_to(&self, file: &Path) -> io::Result<()> {
        fs::write(file, serde_json::to_string_pretty(self)? + "\n")
    }
}
