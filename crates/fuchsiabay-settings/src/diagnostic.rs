//! Faults of settings.

use std::fmt;

/// A fault of one field.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub struct Diagnostic {
    /// The file, as it was named to the reader.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The path of the field, for example `limits.max_head_bytes`. Empty when the text as a whole is at fault.
    pub field: String,
    /// What is wrong, and what is allowed.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

/// Why settings could not be loaded.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum LoadError {
    /// The file could not be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// The file.
        file: String,
        /// The reason.
        error: std::io::Error,
    },
    /// The file has faults, in the order of their lines.
    #[error("{}", lines(.0))]
    Invalid(Vec<Diagnostic>),
}

impl LoadError {
    /// Returns the faults, which are none when the file could not be read.
    pub fn diagnostics(&self) -> &[Diagnostic] {
        match self {
            Self::Unreadable { .. } => &[],
            Self::Invalid(faults) => faults,
        }
    }
}

fn lines(faults: &[Diagnostic]) -> String {
    let lines: Vec<_> = faults.iter().map(Diagnostic::to_string).collect();
    lines.join("\n")
}
