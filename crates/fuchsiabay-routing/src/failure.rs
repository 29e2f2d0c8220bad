//! Why a request failed.

use fuchsiabay_base::{Timestamp, Verdict, is_mechanism_enabled};
use fuchsiabay_wire::{AttemptError, RefusalReason};

/// The outcome of a request without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong last.
    pub kind: FailureKind,
    /// When another try may succeed, if that is known.
    pub retry_at: Option<Timestamp>,
    /// Whether the caller already received part of the answer. The rest must be visibly missing.
    pub truncated: bool,
}

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No backend server could be tried.
    NoServer,
    /// A backend server's agent refused.
    Refused(RefusalReason),
    /// The attempt failed after admission.
    Attempt(AttemptError),
    /// The connection to the agent was lost.
    ConnectionLost,
    /// The agent sent an answer that contradicts itself.
    Protocol,
    /// The request exceeds what one frame can carry.
    TooLarge,
    /// The caller's deadline passed.
    DeadlinePassed,
    /// The caller closed its connection.
    CallerGone,
    /// The request crashed too many backend servers.
    Quarantined,
}

impl FailureKind {
    /// Returns whether another server would answer in the same way, so that a retry is useless.
    pub(crate) fn is_final(self) -> bool {
        matches!(
            self,
            Self::Refused(
                RefusalReason::KeyRequired
                    | RefusalReason::KeyOutsideWindow
                    | RefusalReason::LogUnavailable
                    | RefusalReason::WorkspaceLimit
            ) | Self::Attempt(
                AttemptError::Cancelled
                    | AttemptError::DeadlinePassed
                    | AttemptError::LogUnavailable
                    | AttemptError::ClaimHeld
                    | AttemptError::KeyReused
                    | AttemptError::KeyOutsideWindow
            ) | Self::TooLarge
                | Self::DeadlinePassed
                | Self::CallerGone
                | Self::Quarantined
        )
    }

    /// Returns whether a retry costs nothing of the retry budget. A drain hands back every queued request, and none
    /// of them may be lost to an empty budget.
    pub(crate) fn is_hand_back(self) -> bool {
        matches!(self, Self::Refused(RefusalReason::Draining) | Self::Attempt(AttemptError::Draining))
            && is_mechanism_enabled("free-hand-back")
    }
}
