//! Commands from the scheduler to its agent.

use serde::{Deserialize, Serialize};

use crate::JobId;

/// An instruction to the agent that runs the scheduler. Commands must be executed in the order in which they are
/// returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Starts the job on the backend server.
    Start(JobId),
    /// Reports that the job did not run and never will.
    Drop(JobId, DropReason),
    /// Cancels the running job at the backend server.
    CancelRunning(JobId),
    /// Pauses the running job, which frees its slot on the backend server.
    Pause(JobId),
    /// Resumes the paused job where it stopped.
    Resume(JobId),
}

/// Why a queued job was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DropReason {
    /// Its deadline passed.
    DeadlinePassed,
    /// The scheduler is draining.
    Draining,
    /// The backend server went down.
    BackendDown,
}
