//! The limit that a server states for its requests a second, and this instance's share of it.

use fuchsiabay_base::Timestamp;

/// The maximum time between two requests of an instance that shares a limit, in milliseconds. Only a response shows that the
/// limit has ended.
const MAX_INTERVAL_MS: f64 = 20_000.0;

/// The maximum number of instances that share a limit, for each request a second and in addition. All of them may send a request
/// at the same moment, so more instances would exceed the limit by more than half within some seconds.
const SHARERS_PER_REQUEST: f64 = 1.2;
const MIN_SHARERS: f64 = 2.0;

/// The fraction of a limit that the instances without a share may use in addition, to learn that the limit has ended.
const PROBE_FRACTION: f64 = 0.05;

/// The position of this instance among those that send requests to a server, in an order that all instances agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceRank {
    /// The position, from 0 on.
    pub rank: usize,
    /// The number of instances.
    pub instances: usize,
}

/// Paces the requests of this instance to a server that has stated a limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimit {
    /// The time between two requests, in milliseconds.
    interval_ms: u64,
    /// When the next request may be sent.
    next_at: Timestamp,
    window: SendWindow,
}

/// For how long a request may be sent.
#[derive(Clone, Copy, Debug)]
enum SendWindow {
    /// At any later time. The next request may follow sooner by as much as this one is late, up to this many milliseconds.
    Open { tolerance_ms: u64 },
    /// For this many milliseconds, then again after each interval. So the instances that take turns never send at the same time
    /// after a pause without requests.
    Turn { turn_ms: u64 },
}

impl RateLimit {
    /// Returns the pace for a limit of `per_s` requests a second for all instances. Only those of the first few ranks share it:
    /// more instances would exceed so low a limit together. The others take turns with single requests.
    pub(crate) fn new(per_s: f64, rank: InstanceRank, now: Timestamp) -> Self {
        let max_sharers = (per_s * SHARERS_PER_REQUEST + MIN_SHARERS) as usize;
        let sharers = max_sharers.clamp(1, rank.instances.max(1));
        if rank.rank < sharers {
            let interval_ms = (sharers as f64 * 1_000.0 / per_s).min(MAX_INTERVAL_MS) as u64;
            let window = SendWindow::Open { tolerance_ms: interval_ms / 2 };
            return Self { interval_ms, next_at: now.plus_millis(interval_ms), window };
        }
        let turn_ms = (1_000.0 / (per_s * PROBE_FRACTION)).clamp(1.0, MAX_INTERVAL_MS) as u64;
        let others = rank.instances.saturating_sub(sharers).max(1) as u64;
        let turns_before = (rank.rank - sharers + 1) as u64;
        Self {
            interval_ms: turn_ms * others,
            next_at: now.plus_millis(turn_ms * turns_before),
            window: SendWindow::Turn { turn_ms },
        }
    }

    /// Returns the pace for a limit that was stated again, perhaps with another value.
    pub(crate) fn restated(self, per_s: f64, rank: InstanceRank, now: Timestamp) -> Self {
        let new = Self::new(per_s, rank, now);
        Self { next_at: self.next_at.min(now.plus_millis(new.interval_ms)), ..new }
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn allows(&self, now: Timestamp) -> bool {
        match self.window {
            SendWindow::Open { .. } => self.next_at <= now,
            SendWindow::Turn { turn_ms } => {
                self.next_at <= now && now.millis_since(self.next_at) % self.interval_ms < turn_ms
            }
        }
    }

    /// Returns when the next request may be sent.
    pub(crate) fn next_at(&self, now: Timestamp) -> Timestamp {
        let missed = match self.window {
            SendWindow::Open { .. } => 0,
            SendWindow::Turn { .. } => now.millis_since(self.next_at).div_ceil(self.interval_ms),
        };
        self.next_at.plus_millis(missed * self.interval_ms).max(now)
    }

    /// Records that a request is sent.
    pub(crate) fn record_sent(&mut self, now: Timestamp) {
        let base = match self.window {
            SendWindow::Open { tolerance_ms } => self.next_at.max(now.minus_millis(tolerance_ms)),
            SendWindow::Turn { .. } => {
                let missed = now.millis_since(self.next_at) / self.interval_ms;
                self.next_at.plus_millis(missed * self.interval_ms)
            }
        };
        self.next_at = base.plus_millis(self.interval_ms);
    }
}
