//! A request to be assigned to a server.

use std::{
    fmt,
    sync::{Arc, LazyLock},
};

use fuchsiabay_base::{InstanceId, Timestamp, WorkspaceId};

use crate::Workspace;

/// The account of the requests without a workspace.
static NO_WORKSPACE: LazyLock<WorkspaceId> = LazyLock::new(WorkspaceId::default);

/// Identifies a job within one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub(crate) u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What is known about the stream that responds to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedStream {
    /// The number of tokens that the response is expected to have.
    pub output_tokens: u64,
    /// When the caller must have received the whole response.
    pub ends_by: Timestamp,
    /// How long the caller waits for the next event, in milliseconds. None if it waits until the end.
    pub patience_ms: Option<u64>,
}

/// The properties of a request that the pool uses.
#[derive(Clone, Debug)]
pub struct Job {
    /// The workspace of the caller. Requests without one share an account.
    pub workspace: Option<Arc<Workspace>>,
    /// The priority, 0 for the highest.
    pub priority: u8,
    /// The time by which the response must start to meet the latency goal.
    pub goal_at: Timestamp,
    /// The time until which the request may wait for a slot.
    pub deadline: Timestamp,
    /// The number of tokens that the request is expected to hold in an engine's KV cache. Zero for plain services.
    pub tokens: u64,
    /// What is known about the response if it is a stream.
    pub stream: Option<ExpectedStream>,
    /// Whether the caller was refused before and is retrying.
    pub is_caller_retry: bool,
    /// Whether the caller has already received part of the response, so aborting the request costs the most.
    pub is_resumption: bool,
    /// The servers to which the request must not be sent again.
    pub excluded: Vec<InstanceId>,
}

impl Job {
    /// Returns whether the job may use slots above a concurrency limit. Callers do not return after a second refusal, and a late
    /// response is better for them than none.
    pub(super) const fn uses_all_slots(&self) -> bool {
        self.is_resumption || self.is_caller_retry
    }

    /// Returns the workspace that the job is accounted to. Empty for requests without one.
    pub(crate) fn workspace_id(&self) -> &WorkspaceId {
        workspace_id(self.workspace.as_ref())
    }
}

/// Returns the workspace that a job or a slot is accounted to.
pub(super) fn workspace_id(workspace: Option<&Arc<Workspace>>) -> &WorkspaceId {
    workspace.map_or(&NO_WORKSPACE, |workspace| &workspace.name)
}
