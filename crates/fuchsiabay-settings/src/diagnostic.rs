//! Errors in settings files.

use std::fmt;

/// An error in one field of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub struct Diagnostic {
    /// The file name that was passed to the reader.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The path of the field, for example `limits.max_head_bytes`. Empty if the error concerns the whole text.
    pub field: String,
    /// What is wrong and what is allowed.
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

/// The reason why settings could not be loaded.
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
    /// The file is invalid. The diagnostics are sorted by line.
    #[error("{}", to_lines(.0))]
    Invalid(Vec<Diagnostic>),
}

impl LoadError {
    /// Returns the diagnostics. There are none if the file could not be read.
    pub fn diagnostics(&self) -> &[Diagnostic] {
        match self {
            Self::Unreadable { .. } => &[],
            Self::Invalid(diagnostics) => diagnostics,
        }
    }
}

fn to_lines(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<_> = diagnostics.iter().map(Diagnostic::to_string).collect();
    lines.join("\n")
}
