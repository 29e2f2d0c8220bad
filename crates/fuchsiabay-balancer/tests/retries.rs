//! The retry budget.

use fuchsiabay_balancer::{RetryBudget, RetryLimits};
use fuchsiabay_base::Timestamp;
use quickcheck::quickcheck;

const LIMITS: RetryLimits = RetryLimits { ratio: 0.2, slack: 90, window_ms: 10_000 };

quickcheck! {
    /// Guards against retries that turn a partial outage into a full one. In every window, all instances together stay
    /// within the budget for any arrival pattern.
    fn budget_holds_in_every_window(gaps: Vec<u8>, instances: u8) -> bool {
        let instances = usize::from(instances % 8) + 1;
        let mut budgets: Vec<_> = (0..instances).map(|_| RetryBudget::new(LIMITS)).collect();
        let mut now = Timestamp::from_millis(1_000_000);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for gap in gaps {
            now = now.plus_millis(u64::from(gap) * 20);
            for budget in &mut budgets {
                budget.count_request(now);
                requests.push(now);
                while budget.try_take(instances, now) {
                    retries.push(now);
                }
            }
        }
        let within = |times: &[Timestamp], end: Timestamp| {
            times.iter().filter(|at| **at <= end && end.millis_since(**at) < LIMITS.window_ms).count() as f64
        };
        retries.iter().all(|end| {
            within(&retries, *end) <= within(&requests, *end) * LIMITS.ratio + LIMITS.slack as f64
        })
    }
}
