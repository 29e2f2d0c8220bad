//! Retries as a share of traffic.

use fuchsiabay_base::Timestamp;
use parking_lot::Mutex;

/// The cost of one retry. A first attempt earns as many units as the budget has percent.
const RETRY_COST: u64 = 100;
/// The most retries that can be saved up: the streams of a lost server or two resume at once.
const MAX_SAVED_RETRIES: u64 = 500;
/// Retries earned per second without traffic, so that a rare request can be retried, too.
const IDLE_RETRIES_PER_SECOND: u64 = 1;

/// A token bucket of retries. It keeps a partial outage from being multiplied into a full one.
#[derive(Debug)]
pub struct RetryBudget {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    units: u64,
    percent: u32,
    earned_until: Timestamp,
}

impl RetryBudget {
    /// Builds a budget of `percent` retries per hundred requests that holds ten retries at the start.
    pub fn new(percent: u32, now: Timestamp) -> Self {
        Self { state: Mutex::new(State { units: 10 * RETRY_COST, percent, earned_until: now }) }
    }

    /// Counts a request. `percent` is the share in force.
    pub fn count_request(&self, percent: u32) {
        let mut state = self.state.lock();
        state.percent = percent;
        state.units = (state.units + u64::from(percent)).min(MAX_SAVED_RETRIES * RETRY_COST);
    }

    /// Takes one retry, if one is left. A budget of zero percent allows none.
    pub fn take(&self, now: Timestamp) -> bool {
        let mut state = self.state.lock();
        let earned = now.millis_since(state.earned_until) * IDLE_RETRIES_PER_SECOND * RETRY_COST / 1000;
        if earned > 0 {
            state.units = (state.units + earned).min(MAX_SAVED_RETRIES * RETRY_COST);
            state.earned_until = now;
        }
        if state.percent == 0 || state.units < RETRY_COST {
            return false;
        }
        state.units -= RETRY_COST;
        true
    }

    /// Returns how many retries are left.
    pub fn remaining(&self) -> u64 {
        self.state.lock().units / RETRY_COST
    }
}
