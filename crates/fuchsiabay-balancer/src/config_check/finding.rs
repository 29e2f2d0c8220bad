//! One result of the check of a configuration.

use std::fmt;

use serde::Serialize;

/// How serious a finding is. Errors are ordered first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// Requests fail, or are handled differently from what the entry states.
    Error,
    /// The entry has no effect, or is probably a mistake.
    Warning,
}

/// Something in a configuration that is wrong or without effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The entry, such as `routes.chat` or `limits`.
    pub place: String,
    /// What is wrong with the entry.
    pub message: String,
}

impl Finding {
    pub(super) fn error(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self { severity: Severity::Error, place: place.into(), message: message.into() }
    }

    pub(super) fn warning(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self { severity: Severity::Warning, place: place.into(), message: message.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {}: {}", self.place, self.message)
    }
}
