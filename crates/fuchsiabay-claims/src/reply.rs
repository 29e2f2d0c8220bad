//! Replies to the callers of claimed calls.

use std::sync::Arc;

use fuchsiabay_base::Verdict;

use crate::Response;

/// Why a call has no response of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ClaimError {
    /// The log did not confirm the claim, or may have dropped an earlier one.
    #[error("the log did not record the claim")]
    LogUnavailable,
    /// An earlier call holds the key and has no recorded outcome.
    #[error("an earlier call with the same idempotency key has no recorded outcome")]
    ClaimHeld,
    /// The key was used with another body.
    #[error("the idempotency key was used with another body")]
    KeyReused,
    /// The key is too old, lies in the future, or was issued before the first record that this reader has seen.
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

/// The reply to a call. Each call gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// Whether the call ran. `NotRun` refers to this call only; an earlier call with the same key has its own reply.
    pub verdict: Verdict,
    /// The response of the service, or why there is none.
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

/// The result of a dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchResult {
    /// The service responded.
    Responded(Arc<Response>),
    /// The request was not written to the service and never will be.
    NotStarted,
    /// The connection was lost or the call timed out; the service may have run the call.
    Unknown,
}
