//! How an attempt ended.

use fuchsiabay_base::{AttemptId, Verdict};
use fuchsiabay_wire::{AttemptError, End, PlainResponse};

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ending {
    pub(crate) verdict: Verdict,
    pub(crate) error: Option<AttemptError>,
    pub(crate) total_tokens: u32,
    pub(crate) response: Option<PlainResponse>,
}

impl Ending {
    /// The attempt was never started and never will be.
    pub(crate) fn not_run(error: AttemptError) -> Self {
        Self { verdict: Verdict::NotRun, error: Some(error), total_tokens: 0, response: None }
    }

    /// It is unknown whether the attempt ran, or it ran in part. `position` is that of the next token.
    pub(crate) fn may_have_run(error: AttemptError, position: u32) -> Self {
        Self { verdict: Verdict::MayHaveRun, error: Some(error), total_tokens: position, response: None }
    }

    /// The whole answer was sent.
    pub(crate) fn generated(total_tokens: u32) -> Self {
        Self { verdict: Verdict::Ran, error: None, total_tokens, response: None }
    }

    /// The service answered.
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
