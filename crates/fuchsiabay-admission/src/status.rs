//! The status of the scheduler, for state dumps.

use fuchsiabay_base::WorkspaceId;
use serde::{Deserialize, Serialize};

use crate::{JobId, Limits};

/// The load of the backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Waiting jobs.
    pub queued: u32,
    /// Running and paused jobs.
    pub running: u32,
    /// Jobs that may run at the same time.
    pub slots: u32,
    /// The estimated remaining tokens of running and waiting jobs.
    pub outstanding_tokens: u64,
    /// The predicted wait of a new short job of an idle workspace, in milliseconds.
    pub predicted_wait_ms: u64,
    /// Whether new work is refused permanently because of a drain.
    pub draining: bool,
    /// Whether the backend server is down.
    pub down: bool,
}

/// The whole state, for operators.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct SchedulerStatus {
    /// The load.
    pub load: Load,
    /// The limits in force.
    pub limits: Limits,
    /// Waiting short jobs.
    pub short_queued: u32,
    /// Waiting long jobs.
    pub long_queued: u32,
    /// Running long jobs, excluding paused ones.
    pub long_running: u32,
    /// Paused jobs.
    pub paused: Vec<JobId>,
    /// The measured rate of a slot in tokens per second.
    pub tokens_per_second_and_slot: u64,
    /// The workspaces with work, and idle ones that were not removed yet.
    pub workspaces: Vec<WorkspaceStatus>,
}

/// The work of one workspace.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct WorkspaceStatus {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its fair-share weight.
    pub weight: u32,
    /// Its waiting jobs.
    pub queued: u32,
    /// Its running and paused jobs.
    pub running: u32,
    /// Its virtual time minus the lowest virtual time of any workspace.
    pub virtual_lead: u64,
}
