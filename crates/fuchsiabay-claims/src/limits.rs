//! The time window in which a key may be claimed.

use fuchsiabay_base::{IdempotencyKey, Timestamp};

/// Bounds on the issue time of keys, in milliseconds.
///
/// The retention of the log must be at least [`ClaimLimits::retention_ms`]. Otherwise, the log could drop the first
/// claim on a key while a later claim is still valid, and the call would run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// How long a key may be claimed after it was issued.
    pub window_ms: u64,
    /// How far the clocks of callers may run ahead.
    pub skew_ms: u64,
    /// How long an outcome is kept after the window, and the safety margin of the retention.
    pub margin_ms: u64,
}

impl ClaimLimits {
    /// Returns the shortest log retention that these limits allow.
    pub const fn retention_ms(&self) -> u64 {
        self.window_ms + self.skew_ms + self.margin_ms
    }

    /// Returns whether a claim on `key` is valid if it was appended at `at`.
    pub(crate) fn is_in_window(&self, key: &IdempotencyKey, at: Timestamp) -> bool {
        let issued = key.issued_at();
        at <= issued.plus_millis(self.window_ms) && issued <= at.plus_millis(self.skew_ms)
    }

    /// Returns when the records of the key no longer matter.
    pub(crate) fn expires_at(&self, key: &IdempotencyKey) -> Timestamp {
        key.issued_at().plus_millis(self.window_ms).plus_millis(self.margin_ms)
    }
}
