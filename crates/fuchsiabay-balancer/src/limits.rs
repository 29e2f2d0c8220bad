//! Size limits and timeouts for callers.

use serde::{Deserialize, Serialize};

/// The operator's limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The time within which a caller must send a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
