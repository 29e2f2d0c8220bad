//! Trace files.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use crate::{Mechanism, Outcome, Promise, ReplayError, Script, case::Case};

/// A case with the outcome that it is stated to have.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// The promise that is checked.
    pub promise: Promise,
    /// Decides the delays of all messages.
    pub seed: u64,
    /// The mechanism that is turned off.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub without: Option<String>,
    /// What happens.
    pub script: Script,
    /// What it leads to.
    pub expected: Outcome,
}

impl Trace {
    /// Records a case together with its outcome.
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
    /// Fails when the file is no trace.
    pub fn read(file: &Path) -> Result<Self, ReplayError> {
        Ok(serde_json::from_slice(&fs::read(file)?)?)
    }

    /// Runs the script and returns what happens.
    ///
    /// # Errors
    ///
    /// Fails when the trace turns off a mechanism that is unknown or that this build cannot turn off.
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

    /// Writes the trace into `dir` and returns the file.
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

    /// Writes the trace into `file`.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write_to(&self, file: &Path) -> io::Result<()> {
        fs::write(file, serde_json::to_string_pretty(self)? + "\n")
    }
}
