//! This instance's share of the retry budget of all instances.

use std::collections::VecDeque;

use fuchsiabay_base::Timestamp;

/// The width of a bucket of the sliding window, in milliseconds.
const BUCKET_MS: u64 = 250;

/// The percentage of its share that an instance uses. The rest is a margin for instances that this one does not know
/// yet.
const USED_SHARE_PERCENT: u64 = 70;

/// The percentage of its share of the slack that an instance uses in its first window. Its previous process may have used
/// [`USED_SHARE_PERCENT`] in the same window, so that two restarts within one window fit into the share.
const STARTING_SHARE_PERCENT: u64 = 15;

/// The limits that apply to all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// The number of retries per request.
    pub ratio: f64,
    /// The number of retries allowed beyond the ratio in one window.
    pub slack: u64,
    /// The width of the window, in milliseconds.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    ends_at: Timestamp,
    requests: u64,
    retries: u64,
}

/// Limits the retries of one service by the number of requests in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    buckets: VecDeque<Bucket>,
    started_at: Timestamp,
}

impl RetryBudget {
    /// Creates a budget without any counted requests for an instance that started at `started_at`.
    pub fn new(limits: RetryLimits, started_at: Timestamp) -> Self {
        Self { limits, buckets: VecDeque::new(), started_at }
    }

    /// Sets the limits. Requests and retries counted before still count.
    pub const fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Counts a caller's request.
    pub fn count_request(&mut self, now: Timestamp) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry if this instance's share of the budget allows it. `instances` is the number of instances.
    pub fn try_take(&mut self, instances: usize, now: Timestamp) -> bool {
        self.expire(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let earned = (requests as f64 * self.limits.ratio) as u64;
        if retries >= earned * USED_SHARE_PERCENT / 100 + self.own_slack(instances, now) {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Returns the retries that this instance may make in a window beyond those that requests have earned.
    fn own_slack(&self, instances: usize, now: Timestamp) -> u64 {
        let is_in_first_window = now < self.started_at.plus_millis(self.limits.window_ms + BUCKET_MS);
        let percent = if is_in_first_window { STARTING_SHARE_PERCENT } else { USED_SHARE_PERCENT };
        self.limits.slack * percent / 100 / instances.max(1) as u64
    }

    fn bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let needs_bucket = self.buckets.back().is_none_or(|bucket| bucket.ends_at <= now);
        if needs_bucket {
            self.expire(now);
            self.buckets.push_back(Bucket { ends_at: now.plus_millis(BUCKET_MS), requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was pushed if there was none")
    }

    fn expire(&mut self, now: Timestamp) {
        let window = self.limits.window_ms;
        while self.buckets.front().is_some_and(|bucket| bucket.ends_at.plus_millis(window) <= now) {
            self.buckets.pop_front();
        }
    }
}
