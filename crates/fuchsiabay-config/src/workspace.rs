//! Workspaces.

use serde::{Deserialize, Serialize};

/// The share and limit of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The share relative to the weights of other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The limit across all entry instances, in tokens per second. `None` for no limit.
    #[serde(default)]
    pub tokens_per_second: Option<u64>,
}

const fn default_weight() -> u32 {
    1
}
