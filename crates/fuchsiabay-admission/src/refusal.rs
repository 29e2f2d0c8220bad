//! Refusals of new jobs.

use serde::{Deserialize, Serialize};

/// Why a job was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// The queue is full.
    #[error("the queue is full")]
    QueueFull,
    /// The workspace already holds its share of a queue that is nearly full.
    #[error("the workspace already holds its share of the queue")]
    WorkspaceLimit,
    /// The job is predicted to miss its deadline.
    #[error("the job is predicted to miss its deadline")]
    WouldMissDeadline,
    /// The scheduler is draining.
    #[error("the backend server is draining")]
    Draining,
    /// The backend server is down.
    #[error("the backend server is down")]
    BackendDown,
}

/// The refusal of a job, which was not queued and never starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{cause}")]
pub struct Refusal {
    /// Why the job was refused.
    pub cause: RefusalCause,
    /// After how many milliseconds a retry may succeed.
    pub retry_after_ms: u64,
}
