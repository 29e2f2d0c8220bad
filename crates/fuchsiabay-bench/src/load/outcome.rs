//! What became of one request.

use std::time::Duration;

use crate::responses::TextMatch;

/// What became of one request, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The whole answer to this request.
    Answered,
    /// A refusal that states that the request did not run.
    RefusedNotRun,
    /// Unknown, which includes a truncation that the caller can see.
    MayHaveRun,
    /// An answer that is not the expected one.
    Wrong,
    /// A beginning of the answer that looks complete.
    Truncated,
}

impl Outcome {
    /// Judges a text whose transfer looked complete.
    pub(crate) fn of_complete(comparison: TextMatch) -> Self {
        match comparison {
            TextMatch::Complete => Self::Answered,
            TextMatch::Prefix => Self::Truncated,
            TextMatch::Mismatch => Self::Wrong,
        }
    }

    /// Judges a text whose transfer visibly broke off.
    pub(crate) fn of_broken(comparison: TextMatch) -> Self {
        match comparison {
            TextMatch::Complete | TextMatch::Prefix => Self::MayHaveRun,
            TextMatch::Mismatch => Self::Wrong,
        }
    }

    /// Judges a response other than a success by its verdict header. A missing verdict states nothing.
    pub(crate) fn of_verdict(verdict: Option<&str>) -> Self {
        if verdict == Some("not-run") { Self::RefusedNotRun } else { Self::MayHaveRun }
    }
}

/// What the client observed of one request.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    pub(crate) outcome: Outcome,
    /// Status, transport error or parse error, for the list of failures.
    pub(crate) detail: String,
    /// From the planned arrival to the first token.
    pub(crate) first_token: Option<Duration>,
    /// From the planned arrival to the end.
    pub(crate) total: Duration,
    pub(crate) tokens: u64,
}
