//! Why a request failed.

use fuchsiabay_base::{Timestamp, Verdict, is_mechanism_enabled};
use fuchsiabay_wire::{AttemptError, RefusalReason};

/// The outcome of a request without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The last thing that went wrong.
    pub kind: FailureKind,
    /// When a retry may succeed, if that is known.
    pub retry_at: Option<Timestamp>,
    /// Whether the caller has already received part of the response, so that it must be shown to be incomplete.
    pub truncated: bool,
}

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// There was no backend server to try.
    NoServer,
    /// A backend server's agent refused the attempt.
    Refused(RefusalReason),
    /// The attempt failed after admission.
    Attempt(AttemptError),
    /// The connection to the agent was lost.
    ConnectionLost,
    /// The agent violated the protocol, for example with tokens that contradict earlier ones.
    Protocol,
    /// The request exceeds the size of a frame.
    TooLarge,
    /// The caller's deadline passed.
    DeadlinePassed,
    /// The caller closed its connection.
    CallerGone,
    /// The request crashed too many backend servers.
    Quarantined,
}

impl FailureKind {
    /// Returns whether a retry is useless, because the failure does not depend on the server.
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

    /// Returns whether the retry is not charged to the retry budget. A drain hands back every queued request, and none
    /// of them may fail because the budget is empty.
    pub(crate) fn is_hand_back(self) -> bool {
        matches!(self, Self::Refused(RefusalReason::Draining) | Self::Attempt(AttemptError::Draining))
            && is_mechanism_enabled("free-hand-back")
    }
}
