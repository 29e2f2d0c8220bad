//! How old and how new a key may be.

use fuchsiabay_base::{IdempotencyKey, Timestamp};

/// Bounds on the issue time of keys, in milliseconds.
///
/// The retention of the log must be at least [`ClaimLimits::retention_ms`]: otherwise the first claim of a key
/// could be dropped while a later one is still valid, and the call would run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// How long after its issue a key may be claimed.
    pub window_ms: u64,
    /// How far the clocks of callers may run ahead.
    pub skew_ms: u64,
    /// How long an outcome is remembered beyond the window, and the spare part of the retention.
    pub margin_ms: u64,
}

impl ClaimLimits {
    /// Returns the shortest retention of the log that these limits allow.
    pub const fn retention_ms(&self) -> u64 {
        self.window_ms + self.skew_ms + self.margin_ms
    }

    /// Returns whether a claim that the log took at `at` is in time for `key`.
    pub(crate) fn in_time(&self, key: &IdempotencyKey, at: Timestamp) -> bool {
        let issued = key.issued_at();
        at <= issued.plus_millis(self.window_ms) && issued <= at.plus_millis(self.skew_ms)
    }

    /// Returns when the key may be forgotten.
    pub(crate) fn forget_at(&self, key: &IdempotencyKey) -> Timestamp {
        key.issued_at().plus_millis(self.window_ms).plus_millis(self.margin_ms)
    }
}
