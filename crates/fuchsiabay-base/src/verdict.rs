//! Whether a request may have been executed.

use std::fmt;

use serde::{Deserialize, Serialize};

/// States whether a request ran. Every error on the request path maps to exactly one verdict.
///
/// The variants are ordered from the weakest to the strongest statement about execution, so that `max` combines the
/// verdicts of several attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run and never will. Only the process that could have started it may state this.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Verdict {
    /// Returns the value of the `Fuchsiabay-Verdict` header and of the `verdict` member of a problem body.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
