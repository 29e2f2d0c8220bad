//! Counts and times of a run.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    time::Duration,
};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::{
    outcome::{Observation, Outcome},
    plan::{PlannedRequest, RequestKind},
};

/// Failures that are listed in full.
const FAILURES_LISTED: usize = 5;
/// The longest time that the histograms hold, in microseconds.
const MAX_US: u64 = 600_000_000;

/// Counts and times of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests sent. A call sent twice counts twice.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals that state that the request did not run.
    pub refused_not_run: u64,
    /// Requests that may have run, visible truncations included.
    pub may_have_run: u64,
    /// Answers that are not the expected ones, and calls that ran although every sending was refused as not run.
    pub wrong: u64,
    /// Keys whose effect happened more than once.
    pub doubled: u64,
    /// Beginnings of answers that look complete.
    pub truncated: u64,
    /// Tokens received.
    pub tokens: u64,
    times: BTreeMap<&'static str, Times>,
    failures: Vec<String>,
    /// How often each outcome other than an answer occurred with the same detail.
    failure_counts: BTreeMap<String, u64>,
    keys: HashMap<String, KeySendings>,
}

/// Sendings of one key.
#[derive(Clone, Copy, Debug, Default)]
struct KeySendings {
    sent: u64,
    refused_not_run: u64,
}

#[derive(Clone, Debug)]
struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        // Bounds and digits are constants within the limits of the library.
        Self(Histogram::new_with_bounds(1, MAX_US, 3).unwrap_or_else(|_| unreachable!()))
    }
}

impl Times {
    fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    fn to_json(&self) -> Value {
        json!({
            "count": self.0.len(),
            "p50_us": self.0.value_at_quantile(0.5),
            "p90_us": self.0.value_at_quantile(0.9),
            "p99_us": self.0.value_at_quantile(0.99),
            "max_us": self.0.max(),
        })
    }
}

impl Report {
    /// Adds one request with the key that it carried.
    pub(crate) fn add(&mut self, request: &PlannedRequest, key: Option<String>, observation: Observation) {
        self.sent += 1;
        self.tokens += observation.tokens;
        match observation.outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::RefusedNotRun => self.refused_not_run += 1,
            Outcome::MayHaveRun => self.may_have_run += 1,
            Outcome::Wrong => self.wrong += 1,
            Outcome::Truncated => self.truncated += 1,
        }
        if let Some(key) = key {
            let sendings = self.keys.entry(key).or_default();
            sendings.sent += 1;
            sendings.refused_not_run += u64::from(observation.outcome == Outcome::RefusedNotRun);
        }
        let kind = match request.kind {
            RequestKind::Chat { stream: true, .. } => "chat_stream",
            RequestKind::Chat { stream: false, .. } => "chat",
            RequestKind::LookUp => "look_up",
            RequestKind::Keyed { .. } => "keyed",
        };
        if observation.outcome == Outcome::Answered {
            self.times.entry(kind).or_default().record(observation.total);
            if let Some(first_token) = observation.first_token {
                self.times.entry("first_token").or_default().record(first_token);
            }
            return;
        }
        let failure = format!("{kind} {:?}: {}", observation.outcome, observation.detail);
        *self.failure_counts.entry(failure).or_default() += 1;
        // Wrong and truncated answers are always listed, because each is a fault.
        let fault = matches!(observation.outcome, Outcome::Wrong | Outcome::Truncated);
        if fault || self.failures.len() < FAILURES_LISTED {
            let at_ms = request.at_us / 1000;
            self.failures.push(format!(
                "{at_ms} ms {kind} entry {} {:?}: {}",
                request.entry, observation.outcome, observation.detail
            ));
        }
    }

    /// Compares the effects that the plain services counted with what callers were told.
    pub(crate) fn add_effects(&mut self, effects: &HashMap<String, u64>) {
        for (key, count) in effects {
            if *count > 1 {
                self.doubled += 1;
                self.failures.push(format!("key {key} ran {count} times"));
            }
            let told = self.keys.get(key).copied().unwrap_or_default();
            if told.sent > 0 && told.sent == told.refused_not_run {
                self.wrong += 1;
                self.refused_not_run -= 1;
                self.failures.push(format!("key {key} ran although every sending was refused as not run"));
            }
        }
    }

    /// Returns whether every promise held.
    pub fn passed(&self) -> bool {
        self.wrong == 0 && self.doubled == 0 && self.truncated == 0
    }

    /// Returns the report as JSON.
    pub fn to_json(&self) -> Value {
        let times: BTreeMap<&str, Value> = self.times.iter().map(|(kind, t)| (*kind, t.to_json())).collect();
        json!({
            "sent": self.sent,
            "answered": self.answered,
            "refused_not_run": self.refused_not_run,
            "may_have_run": self.may_have_run,
            "wrong": self.wrong,
            "doubled": self.doubled,
            "truncated": self.truncated,
            "tokens": self.tokens,
            "times": times,
            "failure_counts": self.failure_counts,
            "failures": self.failures,
        })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "sent={} answered={} refused_not_run={} may_have_run={} wrong={} doubled={} truncated={}",
            self.sent,
            self.answered,
            self.refused_not_run,
            self.may_have_run,
            self.wrong,
            self.doubled,
            self.truncated
        )
    }
}
