//! What the scheduler asks its caller to do.

use serde::{Deserialize, Serialize};

use crate::JobId;

/// An order of the scheduler. Commands are carried out in the order in which they were given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Starts the job on the backend server.
    Start(JobId),
    /// Reports that the job did not run and never will.
    Drop(JobId, DropReason),
    /// Cancels the running job at the backend server.
    CancelRunning(JobId),
    /// Takes the running job off the backend server, so that its slot there is free.
    Pause(JobId),
    /// Runs the paused job again from where it was.
    Resume(JobId),
}

/// Why a queued job was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DropReason {
    /// Its deadline passed.
    DeadlinePassed,
    /// The scheduler drains.
    Draining,
    /// The backend server went down.
    BackendDown,
}
