//! How much is asked of a service, and how long its requests take.

use std::collections::VecDeque;

use fuchsiabay_base::Timestamp;

/// The time over which rates are taken, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// Arrivals or ends that are kept. More say nothing new about a rate.
const MAX_KEPT: usize = 512;

/// The weight of a new measurement of a time.
const TIME_WEIGHT: f64 = 0.1;

/// Rates and times of one service, as this instance sees them.
#[derive(Clone, Debug)]
pub(super) struct Traffic {
    /// When requests arrived that could still be on time.
    fresh: VecDeque<Timestamp>,
    ends: VecDeque<Timestamp>,
    /// The time from sending a request to the beginning of its response, in milliseconds.
    first_ms: f64,
    /// The time for which a request holds its place, in milliseconds.
    holding_ms: f64,
}

impl Traffic {
    pub(super) fn new(first_ms: f64, holding_ms: f64) -> Self {
        Self { fresh: VecDeque::new(), ends: VecDeque::new(), first_ms, holding_ms }
    }

    pub(super) fn note_fresh(&mut self, now: Timestamp) {
        push(&mut self.fresh, now);
    }

    pub(super) fn note_first(&mut self, ms: u64) {
        self.first_ms += TIME_WEIGHT * (ms as f64 - self.first_ms);
    }

    pub(super) fn note_end(&mut self, held_ms: u64, now: Timestamp) {
        push(&mut self.ends, now);
        self.holding_ms += TIME_WEIGHT * (held_ms as f64 - self.holding_ms);
    }

    pub(super) fn first_ms(&self) -> u64 {
        self.first_ms as u64
    }

    pub(super) fn holding_ms(&self) -> f64 {
        self.holding_ms
    }

    /// Returns the requests in a second that could still be on time when they arrived.
    pub(super) fn fresh_per_s(&self, now: Timestamp) -> f64 {
        let since = now.minus_millis(WINDOW_MS);
        let count = self.fresh.iter().rev().take_while(|at| **at > since).count();
        count as f64 * 1000.0 / WINDOW_MS as f64
    }

    /// Returns the requests that end in a second, or None when too few ended to tell.
    pub(super) fn ends_per_s(&self, now: Timestamp) -> Option<f64> {
        let since = now.minus_millis(WINDOW_MS);
        let recent = self.ends.iter().rev().take_while(|at| **at > since);
        let (count, oldest) = recent.fold((0_u32, now), |(count, _), at| (count + 1, *at));
        let span_ms = now.millis_since(oldest);
        (count >= 4 && span_ms >= 100).then(|| f64::from(count) * 1000.0 / span_ms as f64)
    }
}

fn push(times: &mut VecDeque<Timestamp>, now: Timestamp) {
    if times.len() == MAX_KEPT {
        times.pop_front();
    }
    times.push_back(now);
}
