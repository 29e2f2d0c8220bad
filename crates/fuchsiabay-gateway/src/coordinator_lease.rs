//! The lease on the coordinator role, which the store grants to one instance at a time.

use fuchsiabay_base::Timestamp;
use fuchsiabay_lockstep::{LeaseTerm, Takeover};
use parking_lot::Mutex;
use rustix::time::{ClockId, clock_gettime};

use crate::MEMBERSHIP_LEASE_MS;

/// Whether this instance holds the coordinator lease, and until when it may rely on it.
#[derive(Debug, Default)]
pub(crate) struct CoordinatorLease {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    held_until: Timestamp,
    term: LeaseTerm,
    takeover: Option<Takeover>,
}

impl CoordinatorLease {
    /// Records that the lease is held until `until`, on the clock of [`boot_now`]. `predecessor_stopped` is used only if the
    /// lease was not held before.
    pub(crate) fn renew(&self, until: Timestamp, term: LeaseTerm, predecessor_stopped: bool) {
        let now = boot_now();
        let mut state = self.state.lock();
        let new_takeover = Takeover { acquired_at: now, predecessor_stopped, lease_ms: MEMBERSHIP_LEASE_MS };
        let was_held = state.held_until > now;
        let takeover = state.takeover.filter(|_| was_held).unwrap_or(new_takeover);
        *state = State { held_until: until, term, takeover: Some(takeover) };
    }

    /// Records that this instance does not hold the lease.
    pub(crate) fn clear(&self) {
        self.state.lock().held_until = Timestamp::ZERO;
    }

    pub(crate) fn is_held(&self) -> bool {
        self.is_held_for(0)
    }

    /// Returns whether the lease remains valid for another `ms` milliseconds without a renewal.
    pub(crate) fn is_held_for(&self, ms: u64) -> bool {
        self.state.lock().held_until > boot_now().plus_millis(ms)
    }

    /// Returns whether no previous holder can still send orders.
    pub(crate) fn is_exclusive(&self) -> bool {
        self.state.lock().takeover.is_some_and(|takeover| takeover.ready_at() <= boot_now())
    }

    /// Returns the term in which the lease is held. Two processes never hold it in the same term.
    pub(crate) fn term(&self) -> LeaseTerm {
        self.state.lock().term
    }
}

/// Returns the time since boot. Unlike the monotonic clock, it includes the time for which the machine is suspended,
/// during which leases keep expiring.
pub(crate) fn boot_now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    Timestamp::from_millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
