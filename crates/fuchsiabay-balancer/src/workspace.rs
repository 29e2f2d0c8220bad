//! Workspaces and the API keys of their callers.

use fuchsiabay_base::WorkspaceId;
use serde::{Deserialize, Serialize};

/// A workspace, the unit of access and fairness among callers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Workspace {
    /// The name, which is passed to the backend servers.
    pub name: WorkspaceId,
    /// The API keys of the workspace's callers.
    pub api_keys: Vec<String>,
    /// The priority among workspaces, 0 for the highest. It takes precedence over the priority of the route.
    pub priority: Option<u8>,
}
