//! Relay of the configuration between instances.

use fuchsiabay_base::Fingerprint;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ConfigDelta;

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
    /// The whole reduced state, when it is newer than the caller's and the steps towards it are not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<Value>,
    /// The steps from the caller's version to the neighbour's, in order.
    #[serde(rename = "steps", default, skip_serializing_if = "Vec::is_empty")]
    pub deltas: Vec<ConfigDelta>,
    /// The content hash of the state that the steps lead to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state_hash: Option<Fingerprint>,
    /// Whether the neighbour reads the log itself.
    pub reader: bool,
    /// Whether the neighbour finds the log unavailable.
    pub log_down: bool,
}
