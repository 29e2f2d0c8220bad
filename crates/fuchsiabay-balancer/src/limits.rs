//! What callers may send, and for how long they may take or stay idle.

use serde::{Deserialize, Serialize};

/// Limits of the operator on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// The size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// The size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The time within which a caller must send a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// The time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits in force until a configuration is known.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
