//! Relay of the configuration between instances.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Asks for the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigPullRequest {
    /// The version that the caller has. Zero stands for none.
    pub have_version: u64,
}

/// The configuration of a neighbour.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigPullReply {
    /// The neighbour's version. Zero stands for none.
    pub version: u64,
    /// Milliseconds since the neighbour's version was proved current. The caller counts them from the moment
    /// it sent the pull, so that a delayed reply never looks fresher than it is.
    pub age_ms: u64,
    /// The reduced state, when it is newer than the caller's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<Value>,
    /// Whether the neighbour reads the log itself.
    pub reader: bool,
    /// Whether the neighbour finds the log unavailable.
    pub log_down: bool,
}
