//! Validation problems of a configuration document.

use std::fmt;

/// A field with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub struct Problem {
    /// The path of the field, for example `presets.peak.long_share_percent`.
    pub field: String,
    /// The allowed values.
    pub allowed: String,
}

impl Problem {
    /// Creates a problem of `field`.
    pub fn new(field: impl Into<String>, allowed: impl Into<String>) -> Self {
        Self { field: field.into(), allowed: allowed.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.allowed)
    }
}
