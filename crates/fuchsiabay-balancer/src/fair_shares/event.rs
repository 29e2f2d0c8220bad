//! Events of fair shares, for logs.

use fuchsiabay_base::WorkspaceId;

/// A change that operators should know.
#[derive(Clone, Debug, PartialEq)]
pub enum ShareEvent {
    /// A workspace began to be above its share while others wait.
    Above {
        /// The workspace. Empty for requests without one.
        workspace: WorkspaceId,
        /// Its usage, in tokens or requests.
        usage: f64,
        /// The share of each workspace that has work waiting.
        share: f64,
        /// The number of workspaces whose requests wait here.
        waiting_workspaces: usize,
    },
    /// A workspace has not been above its share for some time.
    NoLongerAbove {
        /// The workspace. Empty for requests without one.
        workspace: WorkspaceId,
    },
}
