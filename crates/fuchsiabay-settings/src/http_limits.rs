//! Limits on the HTTP requests and connections of callers.

use serde::Deserialize;

use crate::problems::Problems;

/// Limits that protect an entry instance from overload by its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpLimits {
    /// The maximum size of a request head.
    pub max_head_bytes: u32,
    /// The maximum size of a request body.
    pub max_body_bytes: u32,
    /// The maximum number of headers.
    pub max_headers: u32,
    /// The timeout for receiving a request head.
    pub head_timeout_ms: u64,
    /// The maximum number of open connections.
    pub max_connections: u32,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            max_body_bytes: 262_144,
            max_headers: 100,
            head_timeout_ms: 5_000,
            max_connections: 4_096,
        }
    }
}

impl HttpLimits {
    pub(crate) fn check(&self, problems: &mut Problems) {
        problems.range(self.max_head_bytes, 1_024..=65_536, "limits.max_head_bytes", "bytes");
        // A submit frame holds at most 1 MiB. Half of it leaves room for Base64 or for the text to resume from.
        problems.range(self.max_body_bytes, 1_024..=524_288, "limits.max_body_bytes", "bytes");
        problems.range(self.max_headers, 8..=1_000, "limits.max_headers", "headers");
        problems.range(self.head_timeout_ms, 100..=60_000, "limits.head_timeout_ms", "ms");
        problems.range(self.max_connections, 1..=100_000, "limits.max_connections", "connections");
    }
}
