//! Settings of at-most-once claims.

use serde::Deserialize;

use crate::problems::Problems;

/// The minimum time by which the retention time of the log exceeds the age of the oldest valid claim. A reader that
/// lags by less than this never misses the first claim of a key.
const RETENTION_MARGIN_MS: u64 = 60_000;

/// How long an idempotency key is valid for claiming a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// The time for which a key is valid after it was issued.
    pub window_ms: u64,
    /// The maximum time by which the clock of a caller may be ahead.
    pub skew_ms: u64,
    /// The retention time of the log.
    pub retention_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self { window_ms: 600_000, skew_ms: 5_000, retention_ms: 3_600_000 }
    }
}

impl ClaimSettings {
    pub(crate) fn check(&self, problems: &mut Problems) {
        problems.range(self.window_ms, 1_000..=86_400_000, "claims.window_ms", "ms");
        problems.range(self.skew_ms, 0..=60_000, "claims.skew_ms", "ms");
        let min_retention_ms =
            self.window_ms.saturating_add(self.skew_ms).saturating_add(RETENTION_MARGIN_MS);
        problems.require(
            self.retention_ms >= min_retention_ms,
            "claims.retention_ms",
            format_args!("{min_retention_ms} ms (window_ms + skew_ms + {RETENTION_MARGIN_MS} ms) or more"),
        );
    }
}
