//! Backoff between the attempts of one request.

use fastrand::Rng;
use fuchsiabay_base::Timestamp;

/// The longest delay before the first retry, in milliseconds.
const BASE_DELAY_MS: u64 = 10;
/// The longest delay before any retry, in milliseconds.
const MAX_DELAY_MS: u64 = 1_000;

/// Exponential backoff with full jitter, so that requests that failed together are not retried together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    retries: u32,
}

impl Backoff {
    /// Returns when the next retry may start.
    pub fn next(&mut self, now: Timestamp, rng: &mut Rng) -> Timestamp {
        let max_delay_ms = (BASE_DELAY_MS << self.retries.min(10)).min(MAX_DELAY_MS);
        self.retries += 1;
        now.plus_millis(rng.u64(0..=max_delay_ms))
    }
}
