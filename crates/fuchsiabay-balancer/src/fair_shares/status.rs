//! The status of fair shares, for state dumps.

use fuchsiabay_base::WorkspaceId;
use serde::Serialize;

/// The usage of one workspace.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct WorkspaceStatus {
    /// The workspace. Empty for requests without one.
    pub workspace: WorkspaceId,
    /// The usage through this instance, in tokens or requests.
    pub own: f64,
    /// The usage through the other instances, as far as known.
    pub reported: f64,
    /// Whether the workspace is above its share.
    pub is_above: bool,
}

/// The usage of the workspaces of one service.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct FairSharesStatus {
    /// The share of each workspace that has work waiting. `None` if workspaces do not compete.
    pub share: Option<f64>,
    /// The number of workspaces with usage.
    pub workspaces: usize,
    /// The heaviest workspaces.
    pub heaviest: Vec<WorkspaceStatus>,
}
