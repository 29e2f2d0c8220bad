//! The report of an operator command that checks a configuration before it is published.

use std::{fmt, fs, io, path::Path, process::ExitCode};

use fuchsiabay_balancer::{ConfigChange, Finding, ServingConfig, Severity};
use serde::Serialize;

/// The exit code if a file cannot be read.
const EXIT_UNREADABLE: u8 = 1;

/// The exit code if the configuration has errors.
const EXIT_ERRORS: u8 = 2;

/// Why a configuration could not be checked or is not valid at all.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(String, #[source] io::Error),
    /// The file is not a configuration. The message states the line and the column.
    #[error("{0}: {1}")]
    Malformed(String, String),
}

impl ConfigFileError {
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::Unreadable(..) => ExitCode::from(EXIT_UNREADABLE),
            Self::Malformed(..) => ExitCode::from(EXIT_ERRORS),
        }
    }
}

/// The result of checking a configuration.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ConfigReport {
    /// What is wrong or without effect, errors first.
    pub findings: Vec<Finding>,
    /// What differs from the version in force, if it was given.
    pub changes: Vec<ConfigChange>,
}

impl ConfigReport {
    /// Checks the configuration in `file`, also against the one in `in_force`. `parse` reads a configuration in the format of the
    /// deployment.
    pub fn of_files<E: fmt::Display>(
        file: &Path,
        in_force: Option<&Path>,
        parse: impl Fn(&[u8]) -> Result<ServingConfig, E>,
    ) -> Result<Self, ConfigFileError> {
        let load = |path: &Path| {
            let name = path.display().to_string();
            let bytes = fs::read(path).map_err(|error| ConfigFileError::Unreadable(name.clone(), error))?;
            parse(&bytes).map_err(|error| ConfigFileError::Malformed(name, error.to_string()))
        };
        let config = load(file)?;
        let mut findings = config.findings();
        let Some(in_force) = in_force.map(load).transpose()? else {
            return Ok(Self { findings, changes: Vec::new() });
        };
        findings.splice(0..0, config.version_finding(&in_force));
        Ok(Self { findings, changes: config.changes_from(&in_force) })
    }

    /// Returns whether the configuration has errors.
    pub fn has_errors(&self) -> bool {
        self.findings.iter().any(|finding| finding.severity == Severity::Error)
    }

    fn exit_code(&self) -> ExitCode {
        if self.has_errors() { ExitCode::from(EXIT_ERRORS) } else { ExitCode::SUCCESS }
    }
}

impl fmt::Display for ConfigReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.findings.iter().try_for_each(|finding| writeln!(f, "{finding}"))?;
        self.changes.iter().try_for_each(|change| writeln!(f, "{change}"))?;
        write!(f, "{} findings, {} changes", self.findings.len(), self.changes.len())
    }
}

/// Prints the report and returns the exit code: 0 without errors, 1 if a file cannot be read, 2 with errors.
pub fn print_config_report(report: Result<ConfigReport, ConfigFileError>, as_json: bool) -> ExitCode {
    match report {
        Ok(report) if as_json => {
            println!("{}", serde_json::json!(report));
            report.exit_code()
        }
        Ok(report) => {
            println!("{report}");
            report.exit_code()
        }
        Err(error) => {
            eprintln!("check-config: {error}");
            error.exit_code()
        }
    }
}
