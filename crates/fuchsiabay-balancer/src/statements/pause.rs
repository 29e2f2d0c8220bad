//! The time for which a server wants no requests.

use fuchsiabay_base::Timestamp;

/// The longest pause, in milliseconds. A server that states a longer one is asked again after it, because the statement may be
/// an error.
const MAX_PAUSE_MS: f64 = 300_000.0;

/// A pause that a server has stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pause {
    pub(super) until: Timestamp,
}

impl Pause {
    /// Returns the pause of `seconds` from `now` on. None if that is not a length of time.
    pub(super) fn new(seconds: f64, now: Timestamp) -> Option<Self> {
        let ms = seconds * 1_000.0;
        (ms.is_finite() && ms > 0.0)
            .then(|| Self { until: now.plus_millis(ms.min(MAX_PAUSE_MS).ceil() as u64) })
    }

    /// Returns the pause that respects both statements. A shorter one, perhaps in the response to an earlier request, does not
    /// end a longer one.
    pub(super) fn merge(self, other: Option<Self>) -> Self {
        Self { until: other.map_or(self.until, |other| other.until.max(self.until)) }
    }
}
