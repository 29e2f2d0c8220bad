//! When a new coordinator may give orders.

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};

/// The time for which a new coordinator waits in any case, in milliseconds. Ranks tell their state some hundred milliseconds
/// late, and a former coordinator's orders must show.
const SETTLE_MS: u64 = 500;

/// The start of one coordinator's term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Takeover {
    /// When it learned that the duty is its own.
    pub at: Timestamp,
    /// Whether its predecessor has given the duty up, left, died or let its lease run out. Otherwise it may not know yet that
    /// the duty has passed on.
    pub predecessor_stopped: bool,
    /// The time for which a predecessor may go on at most, in milliseconds.
    pub lease_ms: u64,
}

impl Takeover {
    /// Returns when this coordinator may give orders to a group that has had orders before.
    ///
    /// Two coordinators must never give orders at the same time: one could release a step that the other one holds.
    pub fn ready_at(&self) -> Timestamp {
        if self.predecessor_stopped || !is_mechanism_enabled("wait-for-lease-end") {
            return self.at.plus_millis(SETTLE_MS);
        }
        self.at.plus_millis(self.lease_ms.max(SETTLE_MS))
    }
}
