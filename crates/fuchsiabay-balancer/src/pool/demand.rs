//! How fast places become free.

use std::collections::VecDeque;

use fuchsiabay_base::Timestamp;

/// The time over which the rate is taken, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// Ends that are kept. More say nothing new about the rate.
const MAX_ENDS: usize = 256;

/// Counts the requests that ended lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    ends: VecDeque<Timestamp>,
}

impl Demand {
    pub(super) fn note_end(&mut self, now: Timestamp) {
        if self.ends.len() == MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back(now);
    }

    /// Returns the requests that end in a second, or None when too few ended to tell.
    pub(super) fn ends_per_s(&self, now: Timestamp) -> Option<f64> {
        let since = now.minus_millis(WINDOW_MS);
        let recent = self.ends.iter().rev().take_while(|at| **at > since);
        let (count, oldest) = recent.fold((0_u32, now), |(count, _), at| (count + 1, *at));
        let span_ms = now.millis_since(oldest);
        (count >= 4 && span_ms >= 100).then(|| f64::from(count) * 1000.0 / span_ms as f64)
    }
}
