//! When to look for a step that is held although no coordinator will release it.

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};

/// The time without a new step after which some ranks are queried, and the interval between such queries, in milliseconds.
/// Callers abandon a stream after a gap of two seconds.
const CHECK_INTERVAL_MS: u64 = 500;

/// The number of ranks that are queried each time. Switches and recoveries hold steps at the first ranks of a group.
const HOLDING_RANKS: usize = 2;

/// Watches whether a group begins new steps.
///
/// A group that is idle and one whose step is held both begin no step. Only the states of the ranks tell them apart.
#[derive(Clone, Copy, Debug)]
pub struct StallWatch {
    step: u64,
    next_check_at: Timestamp,
    /// The position of the rank that is queried besides the first ones.
    next_rank: usize,
}

impl StallWatch {
    /// Starts watching a group whose last step is `step`.
    pub fn new(step: u64, now: Timestamp) -> Self {
        Self { step, next_check_at: now.plus_millis(CHECK_INTERVAL_MS), next_rank: 0 }
    }

    /// Records the last step that has begun.
    pub fn record_step(&mut self, step: u64, now: Timestamp) {
        if step > self.step {
            *self = Self::new(step, now);
        }
    }

    /// Returns the ranks to query now in a group of `rank_count` ranks: the first ones and, in turn, one of the others.
    pub fn take_due(&mut self, rank_count: usize, now: Timestamp) -> Vec<usize> {
        if now < self.next_check_at || !is_mechanism_enabled("watch-stalls") {
            return Vec::new();
        }
        self.next_check_at = now.plus_millis(CHECK_INTERVAL_MS);
        let first = HOLDING_RANKS.min(rank_count);
        let other = (first < rank_count).then(|| first + self.next_rank % (rank_count - first));
        self.next_rank = self.next_rank.wrapping_add(1);
        (0..first).chain(other).collect()
    }
}
