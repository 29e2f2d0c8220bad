//! The load of a backend server, as reported by its agent.

use fuchsiabay_base::Generation;
use serde::{Deserialize, Serialize};

/// The load of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The incarnation of the agent.
    pub generation: Generation,
    /// The number of queued attempts.
    pub queued: u32,
    /// The number of running attempts.
    pub running: u32,
    /// The maximum number of attempts that run at the same time.
    pub slots: u32,
    /// The estimated number of tokens that running and queued attempts still have to process.
    pub outstanding_tokens: u64,
    /// The predicted wait of a new attempt, in milliseconds.
    pub predicted_wait_ms: u64,
    /// Whether the agent is draining or its backend server is down.
    pub draining: bool,
}
