//! The process of a backend server between two starts.

use std::fmt;

use fuchsiabay_base::InstanceId;
use serde::{Deserialize, Serialize};

use crate::ServerRecord;

/// Identifies a backend server between two of its starts. A server may start again under the id that it had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Incarnation {
    /// The server.
    pub server: InstanceId,
    /// When it started, in milliseconds since the Unix epoch. Zero if unknown.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
}

impl From<&ServerRecord> for Incarnation {
    fn from(record: &ServerRecord) -> Self {
        Self { server: record.id.clone(), started_at_ms: record.started_at_ms }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.server, self.started_at_ms)
    }
}
