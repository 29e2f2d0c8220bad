//! The retry budget.

use fuchsiabay_balancer::{RetryBudget, RetryLimits};
use fuchsiabay_base::Timestamp;
use quickcheck::quickcheck;

const LIMITS: RetryLimits = RetryLimits { ratio: 0.2, slack: 90, window_ms: 10_000 };

/// The time from the kill of an instance to its next start, in milliseconds.
const RESTART_MS: u64 = 500;

/// The times at which requests arrived and retries were sent.
#[derive(Default)]
struct Traffic {
    requests: Vec<Timestamp>,
    retries: Vec<Timestamp>,
}

impl Traffic {
    /// Has each of the instances count a request at `now` and take all retries that it may.
    fn send(&mut self, budgets: &mut [RetryBudget], now: Timestamp) {
        let instances = budgets.len();
        for budget in budgets {
            budget.count_request(now);
            self.requests.push(now);
            while budget.try_take(instances, now) {
                self.retries.push(now);
            }
        }
    }

    /// Returns whether the retries of each window are within the budget of all instances.
    fn is_within_budget(&self) -> bool {
        let within = |times: &[Timestamp], end: Timestamp| {
            times.iter().filter(|at| **at <= end && end.millis_since(**at) < LIMITS.window_ms).count() as f64
        };
        self.retries.iter().all(|end| {
            within(&self.retries, *end) <= within(&self.requests, *end) * LIMITS.ratio + LIMITS.slack as f64
        })
    }
}

/// Returns the budgets of instances that started at `at`.
fn start(instances: usize, at: Timestamp) -> Vec<RetryBudget> {
    (0..instances).map(|_| RetryBudget::new(LIMITS, at)).collect()
}

quickcheck! {
    /// Guards against retries that turn a partial outage into a full one. In every window, all instances together stay
    /// within the budget for any arrival pattern.
    fn budget_holds_in_every_window(gaps: Vec<u8>, instances: u8) -> bool {
        let mut now = Timestamp::from_millis(1_000_000);
        let mut budgets = start(usize::from(instances % 8) + 1, now.minus_millis(2 * LIMITS.window_ms));
        let mut traffic = Traffic::default();
        for gap in gaps {
            now = now.plus_millis(u64::from(gap) * 20);
            traffic.send(&mut budgets, now);
        }
        traffic.is_within_budget()
    }

    /// Guards against instances that take the whole budget again after each restart, because nobody knows their earlier retries.
    fn budget_holds_although_all_instances_restart_twice(gaps: Vec<u8>, instances: u8, restarts: (u8, u8)) -> bool {
        let mut now = Timestamp::from_millis(1_000_000);
        let instances = usize::from(instances % 8) + 1;
        let mut budgets = start(instances, now.minus_millis(2 * LIMITS.window_ms));
        let mut traffic = Traffic::default();
        for (i, gap) in gaps.into_iter().enumerate() {
            now = now.plus_millis(u64::from(gap) * 20);
            if [restarts.0, restarts.1].iter().any(|at| usize::from(*at) % 32 == i) {
                now = now.plus_millis(RESTART_MS);
                budgets = start(instances, now);
            }
            traffic.send(&mut budgets, now);
        }
        traffic.is_within_budget()
    }
}
