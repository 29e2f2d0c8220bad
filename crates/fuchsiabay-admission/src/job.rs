//! Jobs: attempts as the scheduler sees them.

use std::fmt;

use fuchsiabay_base::{Fingerprint, Timestamp, WorkspaceId};
use serde::{Deserialize, Serialize};

/// Identifies a job for the life of one agent.
///
/// Attempt ids are unique only for the connection that they arrived on, so the agent numbers its jobs itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Whether a job is expected to hold its slot for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobClass {
    /// At most `long_work_tokens` are expected.
    Short,
    /// More tokens are expected.
    Long,
}

/// One attempt to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The job.
    pub id: JobId,
    /// The workspace that is charged.
    pub workspace: WorkspaceId,
    /// The share of the workspace relative to others. Zero counts as one.
    pub weight: u32,
    /// The content hash of the request, which a crash is attributed to.
    pub fingerprint: Fingerprint,
    /// The order inside the workspace: a larger number goes first. Workspaces do not compete by it, because a
    /// workspace that marks everything as urgent would gain from it.
    pub priority: u8,
    /// The tokens that the job is expected to cost.
    pub estimated_tokens: u32,
    /// A job that did not start by then is dropped.
    pub deadline: Timestamp,
    /// Runs the job only while nothing else runs, because it is suspected of a crash.
    pub solo: bool,
    /// Whether the backend server can pause the job while it runs.
    pub pausable: bool,
}
