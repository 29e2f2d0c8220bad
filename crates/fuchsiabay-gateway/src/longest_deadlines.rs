//! How much time callers have when they first ask.

use std::collections::HashMap;

use parking_lot::Mutex;

/// Routes that are remembered. Beyond them a request counts as its caller's first attempt.
const MAX_ROUTES: usize = 4_096;

/// The longest time that callers of each route stated.
///
/// A caller that comes back after a refusal states what is left of its time. What is missing tells that its first attempt lies
/// back, and that its response will be late however soon it is given.
#[derive(Debug, Default)]
pub(crate) struct LongestDeadlines {
    longest_ms: Mutex<HashMap<String, u64>>,
}

impl LongestDeadlines {
    /// Notes that a caller of `route` stated `stated_ms`. Returns how much less that is than usual, in milliseconds.
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
