//! The load of the engine, which is reported with a lag.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::Serialize;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) slots: usize,
    pub(crate) cached_blocks: usize,
}

/// Recent load samples. The reported load is the load one lag ago.
pub(crate) struct LoadHistory {
    lag: Duration,
    samples: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    pub(crate) fn new(lag_ms: u64, slots: usize) -> Self {
        let idle = Load { slots, ..Load::default() };
        Self { lag: Duration::from_millis(lag_ms), samples: VecDeque::from([(Instant::now(), idle)]) }
    }

    pub(crate) fn record(&mut self, now: Instant, load: Load) {
        if self.samples.back().is_none_or(|(_, last)| *last != load) {
            self.samples.push_back((now, load));
        }
        self.drop_outdated(now);
    }

    pub(crate) fn reported(&mut self, now: Instant) -> Load {
        self.drop_outdated(now);
        self.samples.front().map_or_else(Load::default, |(_, load)| *load)
    }

    /// Drops the samples older than the one that is reported.
    fn drop_outdated(&mut self, now: Instant) {
        while self.samples.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.samples.pop_front();
        }
    }
}
