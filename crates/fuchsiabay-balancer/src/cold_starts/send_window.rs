//! The recent requests of this instance to one server.

use std::collections::VecDeque;

use fuchsiabay_base::Timestamp;

use super::SHARE_WINDOW_MS;

/// The maximum number of requests that are kept. No share is larger.
const MAX_KEPT: usize = 1_024;

/// When this instance was granted slots at a server within the last window.
#[derive(Clone, Debug, Default)]
pub(super) struct SendWindow {
    granted: VecDeque<Timestamp>,
}

impl SendWindow {
    pub(super) fn record(&mut self, now: Timestamp) {
        self.granted.retain(|at| is_recent(*at, now));
        if self.granted.len() == MAX_KEPT {
            self.granted.pop_front();
        }
        self.granted.push_back(now);
    }

    /// Returns the number of requests in the window.
    pub(super) fn count(&self, now: Timestamp) -> usize {
        self.granted.iter().filter(|at| is_recent(**at, now)).count()
    }

    /// Counts the request granted at `granted_at` from `now` on, if the other requests leave room in a window of `share`. Returns
    /// whether they did. Otherwise the request is not sent, but still counts.
    pub(super) fn renew(&mut self, granted_at: Timestamp, share: usize, now: Timestamp) -> bool {
        let own = self.granted.iter().position(|at| *at == granted_at);
        let others = self.count(now) - usize::from(own.is_some() && is_recent(granted_at, now));
        if others >= share {
            return false;
        }
        if let Some(own) = own {
            self.granted.remove(own);
        }
        self.record(now);
        true
    }
}

fn is_recent(at: Timestamp, now: Timestamp) -> bool {
    now.millis_since(at) < SHARE_WINDOW_MS
}
