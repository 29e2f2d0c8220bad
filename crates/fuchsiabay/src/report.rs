//! What a command says at its end.

use std::io::Write;

use serde_json::Value;

use crate::Exit;

/// The result of a command, for people and for scripts.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// How the command ended.
    pub exit: Exit,
    /// The result as text, without the last line break.
    pub text: String,
    /// The result as JSON.
    pub json: Value,
    /// Whether the text is what was asked for even though the command failed.
    view: bool,
}

impl Report {
    /// Builds a report.
    pub(crate) fn new(exit: Exit, text: impl Into<String>, json: Value) -> Self {
        Self { exit, text: text.into(), json, view: false }
    }

    /// Builds a report whose text is what was asked for, whatever the exit code says about it.
    pub(crate) fn view(exit: Exit, text: impl Into<String>, json: Value) -> Self {
        Self { view: true, ..Self::new(exit, text, json) }
    }

    /// Prints the report: JSON and what was asked for to standard output, the reason of a failure to standard error.
    pub fn print(&self, json: bool) {
        // A reader that closed the pipe has seen enough, so that a failed write is no fault of the command.
        _ = if json {
            writeln!(std::io::stdout(), "{}", self.json)
        } else if self.view || self.exit == Exit::Done {
            writeln!(std::io::stdout(), "{}", self.text)
        } else {
            writeln!(std::io::stderr(), "{}", self.text)
        };
    }
}
