//! Jobs: the scheduler's view of attempts.

use std::fmt;

use fuchsiabay_base::{Fingerprint, Timestamp, WorkspaceId};
use serde::{Deserialize, Serialize};

/// Identifies a job within one agent process.
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

/// An attempt to run on the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The id of the job.
    pub id: JobId,
    /// The workspace that is charged for the job.
    pub workspace: WorkspaceId,
    /// The fair-share weight of the workspace. Zero counts as one.
    pub weight: u32,
    /// The content hash of the request, which a crash is attributed to.
    pub fingerprint: Fingerprint,
    /// The priority within the workspace; jobs with larger numbers run first. It has no effect between workspaces,
    /// because a workspace that marks everything as urgent would gain from it.
    pub priority: u8,
    /// The tokens that the job is expected to cost.
    pub estimated_tokens: u32,
    /// A job that has not started by this time is dropped.
    pub deadline: Timestamp,
    /// Whether the job must run alone, because it is suspected of crashing a backend server.
    pub solo: bool,
    /// Whether the backend server can pause the job once it is running.
    pub pausable: bool,
}
