//! Load of one backend server, as its agent sees it.

use fuchsiabay_base::Generation;
use serde::{Deserialize, Serialize};

/// The load of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The agent's life.
    pub generation: Generation,
    /// Attempts that wait.
    pub queued: u32,
    /// Attempts that run.
    pub running: u32,
    /// Attempts that may run at the same time.
    pub slots: u32,
    /// Estimated tokens that remain, of running and waiting attempts.
    pub outstanding_tokens: u64,
    /// The predicted wait of a new attempt, in milliseconds.
    pub predicted_wait_ms: u64,
    /// Whether the agent is draining or its backend server is leaving or down.
    pub draining: bool,
}
