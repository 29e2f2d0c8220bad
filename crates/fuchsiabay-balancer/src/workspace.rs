//! A workspace and the keys of its callers.

use fuchsiabay_base::WorkspaceId;
use serde::{Deserialize, Serialize};

/// A workspace, the unit of access and fairness among callers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Workspace {
    /// Its name, which backend servers are told.
    pub name: WorkspaceId,
    /// The keys that its callers present.
    pub api_keys: Vec<String>,
    /// Its rank among workspaces, 0 first. It goes before the priority of a route.
    pub priority: Option<u8>,
}
