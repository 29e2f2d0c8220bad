//! Detects repeated attempts of callers from the deadlines that they state.

use std::collections::HashMap;

use parking_lot::Mutex;

/// Maximum number of routes that are tracked. On any other route, a request counts as its caller's first attempt.
const MAX_ROUTES: usize = 4_096;

/// The longest deadline that callers have stated for each route.
///
/// A caller that retries after a refusal states its remaining time. The difference from the longest deadline shows how
/// long ago its first attempt was, and that its response will be late no matter how soon it is sent.
#[derive(Debug, Default)]
pub(crate) struct LongestDeadlines {
    longest_ms: Mutex<HashMap<String, u64>>,
}

impl LongestDeadlines {
    /// Records that a caller of `route` stated a deadline of `stated_ms`. Returns the estimated time since its first attempt,
    /// in milliseconds: the difference from the longest deadline of the route.
    pub(crate) fn elapsed_since_first_attempt_ms(&self, route: &str, stated_ms: u64) -> u64 {
        let mut longest_ms = self.longest_ms.lock();
        if let Some(longest) = longest_ms.get_mut(route) {
            *longest = (*longest).max(stated_ms);
            return *longest - stated_ms;
        }
        if longest_ms.len() < MAX_ROUTES {
            longest_ms.insert(route.to_owned(), stated_ms);
        }
        0
    }
}
