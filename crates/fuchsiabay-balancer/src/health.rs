//! Passive health checking of one backend server.

use std::collections::VecDeque;

use fuchsiabay_base::Timestamp;

/// The number of results over which the failure rate is computed.
const RESULT_WINDOW: usize = 10;

/// The number of consecutive failures after which a server is ejected.
const CONSECUTIVE_FAILURES: u32 = 3;

/// The failure rate in the window at which a server is ejected, in percent.
const EJECTION_FAILURE_PERCENT: usize = 40;

/// The minimum number of results for a meaningful failure rate.
const MIN_RESULTS: usize = 5;

/// The duration of the first ejection, in milliseconds. It doubles with each further ejection.
const FIRST_EJECTION_MS: u64 = 1_000;

/// The maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;

/// The result of a request attempt, as evidence of the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The server responded correctly.
    Success,
    /// The server could not be reached, closed the connection early or sent an invalid response.
    Failure,
    /// The attempt says nothing about the server's health: the caller disconnected, or the server rejected the request
    /// on purpose.
    Neutral,
}

/// The health of one server, derived from the requests sent to it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    results: VecDeque<bool>,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    /// Whether a probe request is running after the end of an ejection.
    is_probing: bool,
}

impl Health {
    /// Returns whether requests may be sent to the server.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => until <= now && !self.is_probing,
        }
    }

    /// Returns when the ejection ends. `None` if there is none.
    pub fn ejected_until(&self) -> Option<Timestamp> {
        self.ejected_until
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self) {
        self.is_probing = self.ejected_until.is_some();
    }

    /// Records the outcome of a request that was sent at `sent_at`. Returns whether it caused an ejection.
    pub fn record_outcome(&mut self, outcome: Outcome, sent_at: Timestamp, now: Timestamp) -> bool {
        // A request from before the end of the ejection is not the probe.
        if self.ejected_until.is_none_or(|until| until <= sent_at) {
            self.is_probing = false;
        }
        match outcome {
            Outcome::Neutral => false,
            Outcome::Success => {
                self.record(true);
                self.consecutive_failures = 0;
                if self.ejected_until.take().is_some() {
                    self.results.clear();
                }
                self.ejections =
                    self.ejections.saturating_sub(u32::from(self.results.len() == RESULT_WINDOW));
                false
            }
            Outcome::Failure => {
                self.record(false);
                self.consecutive_failures += 1;
                self.eject_if_unhealthy(now)
            }
        }
    }

    fn record(&mut self, ok: bool) {
        if self.results.len() == RESULT_WINDOW {
            self.results.pop_front();
        }
        self.results.push_back(ok);
    }

    fn eject_if_unhealthy(&mut self, now: Timestamp) -> bool {
        let failures = self.results.iter().filter(|ok| !**ok).count();
        let reaches_failure_rate = self.results.len() >= MIN_RESULTS
            && failures * 100 >= self.results.len() * EJECTION_FAILURE_PERCENT;
        let is_probe = self.ejected_until.is_some_and(|until| until <= now);
        if self.ejected_until.is_some_and(|until| until > now) {
            return false;
        }
        if !reaches_failure_rate && !is_probe && self.consecutive_failures < CONSECUTIVE_FAILURES {
            return false;
        }
        let ms = (FIRST_EJECTION_MS << self.ejections.min(3)).min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.ejected_until = Some(now.plus_millis(ms));
        self.is_probing = false;
        self.results.clear();
        self.consecutive_failures = 0;
        true
    }
}
