//! What has happened to cold servers, for logs and metrics.

use fuchsiabay_base::{InstanceId, Timestamp};
use serde::Serialize;

/// Why a server counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdReason {
    /// Its entry states so.
    Stated,
    /// It has started.
    Started,
    /// It was absent from the directory and is back.
    Returned,
    /// A connection to it was refused.
    Unreachable,
    /// It could not run requests and is available again.
    Unblocked,
    /// The group of its ranks has reopened.
    GroupReopened,
    /// The drain of its zone has ended.
    DrainEnded,
}

impl ColdReason {
    /// Returns whether the server is available again after an interruption, so that all instances may send to it at the same moment.
    /// A server that has just started gets requests as the instances learn of it, and an unreachable one gets none yet.
    pub(super) const fn ends_interruption(self) -> bool {
        matches!(self, Self::Returned | Self::Unblocked | Self::GroupReopened | Self::DrainEnded)
    }

    /// Returns the name used in logs and metric labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stated => "stated",
            Self::Started => "started",
            Self::Returned => "returned",
            Self::Unreachable => "unreachable",
            Self::Unblocked => "unblocked",
            Self::GroupReopened => "group_reopened",
            Self::DrainEnded => "drain_ended",
        }
    }
}

/// A server has become cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdServerEvent {
    /// The server.
    pub server: InstanceId,
    /// The reason.
    pub reason: ColdReason,
    /// Until when it counts as cold.
    pub until: Timestamp,
    /// The number of requests that this instance may send to it in 1.1 s.
    pub share: usize,
}

/// What has happened since the last query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdEvents {
    /// The servers that have become cold.
    pub servers: Vec<ColdServerEvent>,
    /// The number of slots that were granted at cold servers.
    pub granted: u64,
    /// The number of requests that were not sent because their grants were too old and the window was full.
    pub withheld: u64,
}

impl ColdEvents {
    /// Returns whether nothing has happened.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
