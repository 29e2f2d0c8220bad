//! The outcome of an attempt.

use fuchsiabay_base::{AttemptId, Verdict};
use fuchsiabay_wire::{AttemptError, End, PlainResponse};

/// The outcome of an attempt, as reported to the entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AttemptOutcome {
    pub(crate) verdict: Verdict,
    pub(crate) error: Option<AttemptError>,
    pub(crate) total_tokens: u32,
    pub(crate) response: Option<PlainResponse>,
}

impl AttemptOutcome {
    /// The attempt did not start and never will.
    pub(crate) fn not_run(error: AttemptError) -> Self {
        Self { verdict: Verdict::NotRun, error: Some(error), total_tokens: 0, response: None }
    }

    /// The attempt ran in part, or it is unknown whether it ran. `position` is the position of the next token.
    pub(crate) fn may_have_run(error: AttemptError, position: u32) -> Self {
        Self { verdict: Verdict::MayHaveRun, error: Some(error), total_tokens: position, response: None }
    }

    /// All tokens of the stream were sent.
    pub(crate) fn generated(total_tokens: u32) -> Self {
        Self { verdict: Verdict::Ran, error: None, total_tokens, response: None }
    }

    /// The plain service responded.
    pub(crate) fn responded(response: PlainResponse) -> Self {
        Self { verdict: Verdict::Ran, error: None, total_tokens: 0, response: Some(response) }
    }

    pub(crate) fn into_end(self, attempt: AttemptId) -> End {
        End {
            attempt,
            verdict: self.verdict,
            total_tokens: self.total_tokens,
            error: self.error,
            response: self.response,
        }
    }
}
