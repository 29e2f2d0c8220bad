//! What the caller of a claimed call is told.

use std::sync::Arc;

use fuchsiabay_base::Verdict;

use crate::Response;

/// Why a call has no answer of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ClaimError {
    /// The log did not record the claim.
    #[error("the log did not record the claim")]
    LogUnavailable,
    /// An earlier call holds the key and has no recorded outcome.
    #[error("an earlier call with the same idempotency key has no recorded outcome")]
    ClaimHeld,
    /// The key was used with another body.
    #[error("the idempotency key was used with another body")]
    KeyReused,
    /// The key is too old, lies in the future, or is older than the records this reader has.
    #[error("the idempotency key is too old or lies in the future")]
    KeyOutsideWindow,
    /// The call was cancelled.
    #[error("the call was cancelled")]
    Cancelled,
    /// The agent is draining.
    #[error("the agent is draining")]
    Draining,
    /// The deadline passed.
    #[error("the deadline passed")]
    DeadlinePassed,
    /// The connection to the service failed.
    #[error("the connection to the service failed")]
    BackendLost,
}

/// The answer to one call. Each call gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// Whether the call ran. `NotRun` speaks of this call; an earlier call with the same key has its own answer.
    pub verdict: Verdict,
    /// The answer of the service, or why there is none.
    pub result: Result<Arc<Response>, ClaimError>,
}

impl CallReply {
    pub(crate) fn ran(response: Arc<Response>) -> Self {
        Self { verdict: Verdict::Ran, result: Ok(response) }
    }

    pub(crate) fn not_run(error: ClaimError) -> Self {
        Self { verdict: Verdict::NotRun, result: Err(error) }
    }

    pub(crate) fn may_have_run(error: ClaimError) -> Self {
        Self { verdict: Verdict::MayHaveRun, result: Err(error) }
    }
}

/// How a dispatch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchResult {
    /// The service answered.
    Responded(Arc<Response>),
    /// The request was provably never written to the service and never will be.
    NotStarted,
    /// The connection was lost or the wait ended; the service may have run the call.
    Unknown,
}
