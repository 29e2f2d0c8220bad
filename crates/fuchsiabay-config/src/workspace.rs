//! Workspaces.

use serde::{Deserialize, Serialize};

/// A workspace and its share.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The share relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The limit over all entry instances, in tokens per second. None stands for no limit.
    #[serde(default)]
    pub tokens_per_second: Option<u64>,
}

const fn default_weight() -> u32 {
    1
}
