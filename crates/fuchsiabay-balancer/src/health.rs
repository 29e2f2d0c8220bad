//! Passive health of one backend server.

use std::collections::VecDeque;

use fuchsiabay_base::Timestamp;

/// Results that the failure rate is taken over.
const WINDOW: usize = 10;

/// Failures in a row after which a server is ejected.
const CONSECUTIVE_FAILURES: u32 = 3;

/// The share of failures in the window above which a server is ejected, in percent.
const FAILURE_PERCENT: usize = 40;

/// Results that are needed before the share of failures means anything.
const MIN_RESULTS: usize = 5;

/// The first ejection, in milliseconds. Each further one lasts twice as long.
const FIRST_EJECTION_MS: u64 = 1_000;

/// The longest ejection, in milliseconds.
const LONGEST_EJECTION_MS: u64 = 8_000;

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It answered as it should.
    Success,
    /// It could not be reached, broke off, or sent what is no answer.
    Failure,
    /// It says nothing about the server: the caller left, or the server refused by a rule.
    Neutral,
}

/// The health of one server, judged from the requests that it was sent.
#[derive(Clone, Debug, Default)]
pub struct Health {
    results: VecDeque<bool>,
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    /// Whether one request is trying out a server whose ejection has ended.
    trial: bool,
}

impl Health {
    /// Returns whether the server may be chosen at `now`.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => until <= now && !self.trial,
        }
    }

    /// Returns when the ejection ends.
    pub fn ejected_until(&self) -> Option<Timestamp> {
        self.ejected_until
    }

    /// Notes that a request is sent.
    pub fn note_sent(&mut self) {
        self.trial = self.ejected_until.is_some();
    }

    /// Notes how a request ended. Returns whether the server was ejected by it.
    pub fn note_outcome(&mut self, outcome: Outcome, now: Timestamp) -> bool {
        self.trial = false;
        match outcome {
            Outcome::Neutral => false,
            Outcome::Success => {
                self.record(true);
                self.failures_in_row = 0;
                if self.ejected_until.take().is_some() {
                    self.results.clear();
                }
                self.ejections = self.ejections.saturating_sub(u32::from(self.results.len() == WINDOW));
                false
            }
            Outcome::Failure => {
                self.record(false);
                self.failures_in_row += 1;
                self.eject_if_bad(now)
            }
        }
    }

    fn record(&mut self, ok: bool) {
        if self.results.len() == WINDOW {
            self.results.pop_front();
        }
        self.results.push_back(ok);
    }

    fn eject_if_bad(&mut self, now: Timestamp) -> bool {
        let failures = self.results.iter().filter(|ok| !**ok).count();
        let rate_is_bad =
            self.results.len() >= MIN_RESULTS && failures * 100 >= self.results.len() * FAILURE_PERCENT;
        let on_trial = self.ejected_until.is_some_and(|until| until <= now);
        if self.ejected_until.is_some_and(|until| until > now) {
            return false;
        }
        if !rate_is_bad && !on_trial && self.failures_in_row < CONSECUTIVE_FAILURES {
            return false;
        }
        let ms = (FIRST_EJECTION_MS << self.ejections.min(3)).min(LONGEST_EJECTION_MS);
        self.ejections += 1;
        self.ejected_until = Some(now.plus_millis(ms));
        self.results.clear();
        self.failures_in_row = 0;
        true
    }
}
