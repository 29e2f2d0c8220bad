//! A request that wants a server.

use std::fmt;

use fuchsiabay_base::{InstanceId, Timestamp};

/// Names a job of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub(crate) u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What the pool must know of a request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its rank, 0 first.
    pub priority: u8,
    /// Until when a response that begins has its full value.
    pub goal_at: Timestamp,
    /// Until when the request may wait for a place.
    pub deadline: Timestamp,
    /// Tokens that it is expected to hold in an engine's memory. Zero for plain services.
    pub tokens: u64,
    /// Whether the caller was refused before and has come back.
    pub is_caller_retry: bool,
    /// Whether part of the response has reached the caller, so that breaking it off costs most.
    pub is_resumption: bool,
    /// Servers that it was sent to before.
    pub excluded: Vec<InstanceId>,
}
