//! The duty of coordinating, which one instance holds at a time.

use fuchsiabay_base::Timestamp;
use fuchsiabay_lockstep::Takeover;
use parking_lot::Mutex;
use rustix::time::{ClockId, clock_gettime};

use crate::MEMBERSHIP_LEASE_MS;

/// Whether this instance holds the duty, and until when it may believe so.
#[derive(Debug, Default)]
pub(crate) struct CoordinatorLease {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    held_until: Timestamp,
    term: u64,
    takeover: Option<Takeover>,
}

impl CoordinatorLease {
    /// Notes that the duty is held until `until` on the clock of [`boot_now`]. `predecessor_stopped` matters if it was not held
    /// before.
    pub(crate) fn renew(&self, until: Timestamp, term: u64, predecessor_stopped: bool) {
        let now = boot_now();
        let mut state = self.state.lock();
        let first = Takeover { at: now, predecessor_stopped, lease_ms: MEMBERSHIP_LEASE_MS };
        let was_held = state.held_until > now;
        let takeover = state.takeover.filter(|_| was_held).unwrap_or(first);
        *state = State { held_until: until, term, takeover: Some(takeover) };
    }

    /// Notes that another instance holds the duty.
    pub(crate) fn clear(&self) {
        self.state.lock().held_until = Timestamp::ZERO;
    }

    pub(crate) fn is_held(&self) -> bool {
        self.is_held_for(0)
    }

    /// Returns whether the duty is held for another `ms` milliseconds, even if it is not renewed.
    pub(crate) fn is_held_for(&self, ms: u64) -> bool {
        self.state.lock().held_until > boot_now().plus_millis(ms)
    }

    /// Returns whether no former holder may still give orders.
    pub(crate) fn is_exclusive(&self) -> bool {
        self.state.lock().takeover.is_some_and(|takeover| takeover.ready_at() <= boot_now())
    }

    /// Returns the number of the term in which the duty is held. Terms of different instances differ.
    pub(crate) fn term(&self) -> u64 {
        self.state.lock().term
    }
}

/// Returns the time since the machine started. Unlike the monotonic clock, this clock counts the time for which the
/// machine is suspended, in which a lease goes on running out.
pub(crate) fn boot_now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    Timestamp::from_millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
