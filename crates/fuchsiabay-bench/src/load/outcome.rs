//! Outcomes of requests.

use std::time::Duration;

use crate::responses::TextMatch;

/// The outcome of one request, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The complete, expected response.
    Answered,
    /// An error that proves that the request did not run: a `not-run` verdict or a refused connection.
    RefusedNotRun,
    /// An error that does not prove whether the request ran, or a truncation that the caller can detect.
    MayHaveRun,
    /// A response other than the expected one.
    Wrong,
    /// A prefix of the expected response that looks complete to the caller.
    Truncated,
}

impl Outcome {
    /// Classifies a text whose transfer looked complete.
    pub(crate) fn from_complete_text(text_match: TextMatch) -> Self {
        match text_match {
            TextMatch::Complete => Self::Answered,
            TextMatch::Prefix => Self::Truncated,
            TextMatch::Mismatch => Self::Wrong,
        }
    }

    /// Classifies a text whose transfer was visibly aborted.
    pub(crate) fn from_aborted_text(text_match: TextMatch) -> Self {
        match text_match {
            TextMatch::Complete | TextMatch::Prefix => Self::MayHaveRun,
            TextMatch::Mismatch => Self::Wrong,
        }
    }

    /// Classifies an error response by its verdict header. Without a verdict, the request may have run.
    pub(crate) fn from_verdict(verdict: Option<&str>) -> Self {
        if verdict == Some("not-run") { Self::RefusedNotRun } else { Self::MayHaveRun }
    }
}

/// The outcome and timing of one request, as observed by the client.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    pub(crate) outcome: Outcome,
    /// The status, transport error or unexpected content, for the list of failures.
    pub(crate) detail: String,
    /// The time from the planned arrival to the first token.
    pub(crate) time_to_first_token: Option<Duration>,
    /// The time from the planned arrival to the end of the response.
    pub(crate) latency: Duration,
    pub(crate) tokens: u64,
}
