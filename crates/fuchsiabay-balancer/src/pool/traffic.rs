//! Arrival and completion rates of a service, and the durations of its requests.

use std::collections::VecDeque;

use fuchsiabay_base::Timestamp;

/// The window over which rates are computed, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// The maximum number of arrivals or completions that are kept. More would not make a rate more accurate.
const MAX_SAMPLES: usize = 512;

/// The weight of a new sample in the exponential moving average of a duration.
const EWMA_WEIGHT: f64 = 0.1;

/// The rates and durations of one service's requests, as measured by this instance.
#[derive(Clone, Debug)]
pub(super) struct Traffic {
    /// The arrival times of requests that could still be on time.
    on_time_arrivals: VecDeque<Timestamp>,
    completions: VecDeque<Timestamp>,
    /// The mean time from sending a request to the first byte of its response, in milliseconds.
    first_byte_ms: f64,
    /// The mean time for which a request occupies its slot, in milliseconds.
    holding_ms: f64,
}

impl Traffic {
    pub(super) fn new(first_byte_ms: f64, holding_ms: f64) -> Self {
        Self { on_time_arrivals: VecDeque::new(), completions: VecDeque::new(), first_byte_ms, holding_ms }
    }

    pub(super) fn record_on_time_arrival(&mut self, now: Timestamp) {
        push(&mut self.on_time_arrivals, now);
    }

    pub(super) fn record_first_byte(&mut self, ms: u64) {
        self.first_byte_ms += EWMA_WEIGHT * (ms as f64 - self.first_byte_ms);
    }

    pub(super) fn record_completion(&mut self, held_ms: u64, now: Timestamp) {
        push(&mut self.completions, now);
        self.holding_ms += EWMA_WEIGHT * (held_ms as f64 - self.holding_ms);
    }

    pub(super) fn first_byte_ms(&self) -> u64 {
        self.first_byte_ms as u64
    }

    pub(super) fn holding_ms(&self) -> f64 {
        self.holding_ms
    }

    /// Returns the rate of arrivals that could still be on time, per second.
    pub(super) fn on_time_arrivals_per_s(&self, now: Timestamp) -> f64 {
        let since = now.minus_millis(WINDOW_MS);
        let count = self.on_time_arrivals.iter().rev().take_while(|at| **at > since).count();
        count as f64 * 1000.0 / WINDOW_MS as f64
    }

    /// Returns the rate of completions per second, or `None` if there are too few to tell.
    pub(super) fn completions_per_s(&self, now: Timestamp) -> Option<f64> {
        let since = now.minus_millis(WINDOW_MS);
        let recent = self.completions.iter().rev().take_while(|at| **at > since);
        let (count, oldest) = recent.fold((0_u32, now), |(count, _), at| (count + 1, *at));
        let span_ms = now.millis_since(oldest);
        (count >= 4 && span_ms >= 100).then(|| f64::from(count) * 1000.0 / span_ms as f64)
    }
}

fn push(times: &mut VecDeque<Timestamp>, now: Timestamp) {
    if times.len() == MAX_SAMPLES {
        times.pop_front();
    }
    times.push_back(now);
}
