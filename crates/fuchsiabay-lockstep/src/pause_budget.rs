//! How often engines may be queried in a way that pauses their group.

use fuchsiabay_base::Timestamp;

/// The number of counts for which a query pauses the group by half a millisecond.
const COUNTS_PER_HALF_MS: u64 = 400;

/// The minimum time between two pauses, as a multiple of the pause. It limits the pauses to 1% of the time, so that queries
/// never slow the group more than the layout that they improve.
const INTERVAL_PER_PAUSE: u64 = 100;

/// The time for which unused budget is kept, in milliseconds.
const BURST_MS: u64 = 250;

/// Limits the queries that pause a group.
///
/// Engines are queried like this only while the agents beside them do not respond. Without a limit, agents that respond late
/// because of a high load would stop the group of 192 ranks: one query of all ranks pauses it for 0.9 s.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseBudget {
    next_query_at: Timestamp,
}

impl PauseBudget {
    /// Returns whether a query of `counts` counts is allowed at `now`, and takes it from the budget if it is.
    pub fn try_take(&mut self, counts: usize, now: Timestamp) -> bool {
        if now < self.next_query_at {
            return false;
        }
        let interval_ms = counts as u64 * INTERVAL_PER_PAUSE / (2 * COUNTS_PER_HALF_MS);
        let from = self.next_query_at.max(now.minus_millis(BURST_MS));
        self.next_query_at = from.plus_millis(interval_ms.max(1));
        true
    }
}
