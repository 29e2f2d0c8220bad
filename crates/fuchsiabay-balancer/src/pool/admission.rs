//! What becomes of a request that wants a server.

use super::{Grant, JobId};

/// The answer of the pool.
#[derive(Clone, Debug)]
pub enum Admission {
    /// The request may be sent.
    Granted(Grant),
    /// The request waits.
    Queued(JobId),
    /// The request must be refused.
    Refused(Refusal),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No server that it may be sent to is known.
    NoServer,
    /// The group that runs such requests lacks a rank, and nobody knows for how long.
    GroupIncomplete,
    /// The wait would outlast what the request has left.
    WaitTooLong,
}

impl RefusalReason {
    /// Returns the name used in logs and metric labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::GroupIncomplete => "group_incomplete",
            Self::WaitTooLong => "wait_too_long",
        }
    }
}

/// A refusal. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller should come back, in milliseconds from now.
    pub retry_after_ms: u64,
    /// The wait that was predicted, in milliseconds.
    pub predicted_wait_ms: u64,
    /// Requests that wait already.
    pub queued: usize,
}
