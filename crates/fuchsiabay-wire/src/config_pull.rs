//! Messages that relay the configuration between instances.

use fuchsiabay_base::Fingerprint;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ConfigDelta;

/// Requests the configuration from a neighbour, which is an entry instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigPullRequest {
    /// The version that the caller has. Zero means none.
    pub have_version: u64,
}

/// The reply to a [`ConfigPullRequest`].
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigPullReply {
    /// The version that the neighbour has. Zero means none.
    pub version: u64,
    /// The time since the neighbour's version was confirmed to be current, in milliseconds. The caller counts it from
    /// the moment it sent the request, so that a delayed reply never looks fresher than it is.
    pub age_ms: u64,
    /// The full state, if it is newer than the caller's and the neighbour does not have the deltas that lead to it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<Value>,
    /// The deltas from the caller's version to the neighbour's, in order.
    #[serde(rename = "steps", default, skip_serializing_if = "Vec::is_empty")]
    pub deltas: Vec<ConfigDelta>,
    /// The content hash of the state that the deltas produce.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state_hash: Option<Fingerprint>,
    /// Whether the neighbour is one of the readers, which poll the log.
    pub reader: bool,
    /// Whether the log is unavailable to the neighbour.
    pub log_down: bool,
}
