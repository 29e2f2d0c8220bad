//! Limits retries to a share of the traffic.

use fuchsiabay_base::Timestamp;
use parking_lot::Mutex;

/// The cost of one retry in units. Each request earns as many units as the budget has percent.
const RETRY_COST: u64 = 100;
/// The capacity of the budget in retries, enough for the streams of one or two lost servers to resume at once.
const CAPACITY_RETRIES: u64 = 500;
/// Retries earned per second without traffic, so that an idle instance can retry requests too.
const IDLE_RETRIES_PER_SECOND: u64 = 1;

/// A token bucket of retries. It keeps retries from turning a partial outage into a full one.
#[derive(Debug)]
pub struct RetryBudget {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    units: u64,
    percent: u32,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred requests, which starts with ten retries.
    pub fn new(percent: u32, now: Timestamp) -> Self {
        Self { state: Mutex::new(State { units: 10 * RETRY_COST, percent, refilled_at: now }) }
    }

    /// Counts a request. `percent` is the currently configured share.
    pub fn count_request(&self, percent: u32) {
        let mut state = self.state.lock();
        state.percent = percent;
        state.units = (state.units + u64::from(percent)).min(CAPACITY_RETRIES * RETRY_COST);
    }

    /// Takes one retry, if one is left. A budget of zero percent allows none.
    pub fn try_take(&self, now: Timestamp) -> bool {
        let mut state = self.state.lock();
        let earned = now.millis_since(state.refilled_at) * IDLE_RETRIES_PER_SECOND * RETRY_COST / 1000;
        if earned > 0 {
            state.units = (state.units + earned).min(CAPACITY_RETRIES * RETRY_COST);
            state.refilled_at = now;
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
