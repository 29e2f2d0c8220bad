//! When a new coordinator may send orders.

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};

use crate::rank_state::REPORT_LAG_MS;

/// The start of one coordinator's term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Takeover {
    /// When the coordinator learned that it holds the coordinator lease.
    pub acquired_at: Timestamp,
    /// Whether the predecessor has released the lease, left, crashed or let its lease expire. Otherwise it may not know yet
    /// that the lease has been reassigned.
    pub predecessor_stopped: bool,
    /// The longest time for which a predecessor may still send orders, in milliseconds.
    pub lease_ms: u64,
}

impl Takeover {
    /// Returns when this coordinator may send orders to a group that has received orders before.
    ///
    /// Two coordinators must never send orders at the same time: one could release a step that the other holds. The reported
    /// states of the ranks must show the effects of the previous coordinator's orders.
    pub fn ready_at(&self) -> Timestamp {
        if self.predecessor_stopped || !is_mechanism_enabled("wait-for-lease-end") {
            return self.acquired_at.plus_millis(REPORT_LAG_MS);
        }
        self.acquired_at.plus_millis(self.lease_ms.max(REPORT_LAG_MS))
    }
}
