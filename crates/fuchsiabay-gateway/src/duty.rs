//! The duty of coordinating, which one instance holds at a time.

use fuchsiabay_base::Timestamp;
use parking_lot::Mutex;
use rustix::time::{ClockId, clock_gettime};

/// Whether this instance holds the duty, and until when it may believe so.
#[derive(Debug, Default)]
pub(crate) struct Duty {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    held_until: Timestamp,
    term: u64,
}

impl Duty {
    /// Notes that the duty is held until `until` on the clock of [`boot_now`].
    pub(crate) fn hold(&self, until: Timestamp, term: u64) {
        *self.state.lock() = State { held_until: until, term };
    }

    /// Notes that another instance holds the duty.
    pub(crate) fn lose(&self) {
        self.state.lock().held_until = Timestamp::ZERO;
    }

    pub(crate) fn is_held(&self) -> bool {
        self.state.lock().held_until > boot_now()
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
