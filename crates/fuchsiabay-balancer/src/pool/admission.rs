//! The result of admitting a request.

use super::{Grant, JobId};

/// The pool's decision about a request.
#[derive(Clone, Debug)]
pub enum Admission {
    /// The request may be sent now.
    Granted(Grant),
    /// The request waits for a slot.
    Queued(JobId),
    /// The request must be refused.
    Refused(Refusal),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// There is no known server to which the request may be sent.
    NoServer,
    /// Every server that may run the request has stated that it wants none for some time.
    Paused,
    /// A rank of the group that runs the service's requests cannot be reached, for an unknown time.
    GroupIncomplete,
    /// The predicted wait is too long for the request's remaining time.
    WaitTooLong,
    /// The group is so slow that it would not complete the request in its remaining time.
    TooSlow,
    /// Requests of workspaces that use less have overtaken the request until it could not be served in time.
    Overtaken,
}

impl RefusalReason {
    /// Returns the name used in logs and metric labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::Paused => "servers_paused",
            Self::GroupIncomplete => "group_incomplete",
            Self::WaitTooLong => "wait_too_long",
            Self::TooSlow => "too_slow",
            Self::Overtaken => "overtaken",
        }
    }
}

/// A refusal. The request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// The delay after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
    /// The predicted wait, in milliseconds.
    pub predicted_wait_ms: u64,
    /// The number of requests that wait already.
    pub queued: usize,
}
