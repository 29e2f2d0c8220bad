//! The result of a command.

use std::io::Write;

use serde_json::Value;

use crate::Exit;

/// The result of a command, for people and for scripts.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The outcome, which determines the exit code.
    pub exit: Exit,
    /// The result as text, without a trailing newline.
    pub text: String,
    /// The result as JSON.
    pub json: Value,
    /// Whether the text is the requested output even if the command failed.
    is_requested_output: bool,
}

impl Report {
    /// Creates a report. If the command failed, the text is the reason.
    pub(crate) fn new(exit: Exit, text: impl Into<String>, json: Value) -> Self {
        Self { exit, text: text.into(), json, is_requested_output: false }
    }

    /// Creates a report whose text is the requested output whatever the exit code, so that it goes to standard output.
    pub(crate) fn on_stdout(exit: Exit, text: impl Into<String>, json: Value) -> Self {
        Self { is_requested_output: true, ..Self::new(exit, text, json) }
    }

    /// Prints the report: JSON and requested output to standard output, the reason of a failure to standard error.
    pub fn print(&self, json: bool) {
        // A write fails if the reader closed the pipe early, which is not an error of the command.
        _ = if json {
            writeln!(std::io::stdout(), "{}", self.json)
        } else if self.is_requested_output || self.exit == Exit::Done {
            writeln!(std::io::stdout(), "{}", self.text)
        } else {
            writeln!(std::io::stderr(), "{}", self.text)
        };
    }
}
