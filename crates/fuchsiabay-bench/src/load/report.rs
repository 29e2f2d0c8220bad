//! Report of a load run.

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

/// The number of failures after which only wrong and truncated responses are listed individually.
const MAX_LISTED_FAILURES: usize = 5;
/// The longest latency that the histograms record, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The counts and latencies of a load run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests that were sent. A call that is sent twice counts twice.
    pub sent: u64,
    /// Requests with the complete, expected response.
    pub answered: u64,
    /// Requests that were refused and provably did not run.
    pub refused_not_run: u64,
    /// Requests that may have run, including those with a detectable truncation.
    pub may_have_run: u64,
    /// Requests with a response other than the expected one, and keyed calls that ran although every request with
    /// their key was refused as not run.
    pub wrong: u64,
    /// Idempotency keys whose effect occurred more than once.
    pub doubled: u64,
    /// Requests with a truncated response that looks complete.
    pub truncated: u64,
    /// Tokens that were received.
    pub tokens: u64,
    latencies: BTreeMap<&'static str, LatencyHistogram>,
    failures: Vec<String>,
    /// The number of failures with the same request kind, outcome and detail.
    failure_counts: BTreeMap<String, u64>,
    keyed_calls: HashMap<String, KeyedCall>,
}

/// How often the call with one idempotency key was sent and refused.
#[derive(Clone, Copy, Debug, Default)]
struct KeyedCall {
    sent: u64,
    refused_not_run: u64,
}

#[derive(Clone, Debug)]
struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        // The bounds and the number of significant digits are constants that the library accepts.
        Self(Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).unwrap_or_else(|_| unreachable!()))
    }
}

impl LatencyHistogram {
    fn record(&mut self, latency: Duration) {
        self.0.saturating_record(latency.as_micros() as u64);
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
    /// Adds the observation of one request, which was sent with `key` as its idempotency key.
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
            let call = self.keyed_calls.entry(key).or_default();
            call.sent += 1;
            call.refused_not_run += u64::from(observation.outcome == Outcome::RefusedNotRun);
        }
        let kind = match request.kind {
            RequestKind::Chat { stream: true, .. } => "chat_stream",
            RequestKind::Chat { stream: false, .. } => "chat",
            RequestKind::LookUp => "look_up",
            RequestKind::Keyed { .. } => "keyed",
        };
        if observation.outcome == Outcome::Answered {
            self.latencies.entry(kind).or_default().record(observation.latency);
            if let Some(time_to_first_token) = observation.time_to_first_token {
                self.latencies.entry("first_token").or_default().record(time_to_first_token);
            }
            return;
        }
        let failure = format!("{kind} {:?}: {}", observation.outcome, observation.detail);
        *self.failure_counts.entry(failure).or_default() += 1;
        // Wrong and truncated responses are always listed, because each is a fault of the system under test.
        let is_fault = matches!(observation.outcome, Outcome::Wrong | Outcome::Truncated);
        if is_fault || self.failures.len() < MAX_LISTED_FAILURES {
            let at_ms = request.at_us / 1000;
            self.failures.push(format!(
                "{at_ms} ms {kind} entry {} {:?}: {}",
                request.entry, observation.outcome, observation.detail
            ));
        }
    }

    /// Compares the effects that the plain services counted with the outcomes that callers observed.
    pub(crate) fn add_effects(&mut self, effects: &HashMap<String, u64>) {
        for (key, count) in effects {
            if *count > 1 {
                self.doubled += 1;
                self.failures.push(format!("key {key} ran {count} times"));
            }
            let call = self.keyed_calls.get(key).copied().unwrap_or_default();
            if call.sent > 0 && call.sent == call.refused_not_run {
                self.wrong += 1;
                self.refused_not_run -= 1;
                self.failures
                    .push(format!("key {key} ran although every request with it was refused as not run"));
            }
        }
    }

    /// Returns whether no response was wrong or truncated and no effect occurred more than once.
    pub fn passed(&self) -> bool {
        self.wrong == 0 && self.doubled == 0 && self.truncated == 0
    }

    /// Returns the report as JSON.
    pub fn to_json(&self) -> Value {
        let latencies: BTreeMap<&str, Value> =
            self.latencies.iter().map(|(name, histogram)| (*name, histogram.to_json())).collect();
        json!({
            "sent": self.sent,
            "answered": self.answered,
            "refused_not_run": self.refused_not_run,
            "may_have_run": self.may_have_run,
            "wrong": self.wrong,
            "doubled": self.doubled,
            "truncated": self.truncated,
            "tokens": self.tokens,
            "times": latencies,
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
