//! Back-off between the attempts of one request.

use fastrand::Rng;
use fuchsiabay_base::Timestamp;

/// The longest wait before the first retry, in milliseconds.
const FIRST_MS: u64 = 10;
/// The longest wait before any retry, in milliseconds.
const LONGEST_MS: u64 = 1_000;

/// Exponential back-off with full jitter, so that requests that failed together do not return together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    retries: u32,
}

impl Backoff {
    /// Returns when the next retry may start.
    pub fn next(&mut self, now: Timestamp, rng: &mut Rng) -> Timestamp {
        let longest = (FIRST_MS << self.retries.min(10)).min(LONGEST_MS);
        self.retries += 1;
        now.plus_millis(rng.u64(0..=longest))
    }
}
