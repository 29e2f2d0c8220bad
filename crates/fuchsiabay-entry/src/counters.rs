//! The metrics of an entry instance.

use std::sync::atomic::{AtomicU64, Ordering};

use fuchsiabay_base::Verdict;
use metrics::{Counter, Histogram, counter, histogram};
use serde_json::{Value, json};

/// A counter that is exported at `/metrics` and can be read for the dump.
struct ReadableCounter {
    total: AtomicU64,
    metric: Counter,
}

impl ReadableCounter {
    fn new(metric: Counter) -> Self {
        Self { total: AtomicU64::new(0), metric }
    }

    fn add(&self, n: u64) {
        self.total.fetch_add(n, Ordering::Relaxed);
        self.metric.increment(n);
    }

    fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }
}

/// Counters and histograms. The handles are looked up only once, because a lookup per token would cost more than
/// relaying the token.
pub(crate) struct Counters {
    requests: ReadableCounter,
    not_run: ReadableCounter,
    may_have_run: ReadableCounter,
    ran: ReadableCounter,
    truncated: ReadableCounter,
    caller_gone: ReadableCounter,
    retries: ReadableCounter,
    crashes: ReadableCounter,
    late_frames: ReadableCounter,
    tokens: ReadableCounter,
    first_token_ms: Histogram,
    inter_token_ms: Histogram,
}

impl Counters {
    pub(crate) fn new() -> Self {
        let verdict = |name: &'static str| {
            ReadableCounter::new(counter!("fuchsiabay_entry_verdicts_total", "verdict" => name))
        };
        Self {
            requests: ReadableCounter::new(counter!("fuchsiabay_entry_requests_total")),
            not_run: verdict("not-run"),
            may_have_run: verdict("may-have-run"),
            ran: verdict("ran"),
            truncated: ReadableCounter::new(counter!("fuchsiabay_entry_truncated_total")),
            caller_gone: ReadableCounter::new(counter!("fuchsiabay_entry_caller_gone_total")),
            retries: ReadableCounter::new(counter!("fuchsiabay_entry_retries_total")),
            crashes: ReadableCounter::new(counter!("fuchsiabay_entry_crash_reports_total")),
            late_frames: ReadableCounter::new(counter!("fuchsiabay_entry_late_frames_total")),
            tokens: ReadableCounter::new(counter!("fuchsiabay_entry_tokens_total")),
            first_token_ms: histogram!("fuchsiabay_entry_first_token_ms"),
            inter_token_ms: histogram!("fuchsiabay_entry_inter_token_ms"),
        }
    }

    pub(crate) fn count_request(&self) {
        self.requests.add(1);
    }

    pub(crate) fn count_verdict(&self, verdict: Verdict) {
        match verdict {
            Verdict::NotRun => self.not_run.add(1),
            Verdict::MayHaveRun => self.may_have_run.add(1),
            Verdict::Ran => self.ran.add(1),
        }
    }

    pub(crate) fn count_truncated(&self) {
        self.truncated.add(1);
    }

    pub(crate) fn count_caller_gone(&self) {
        self.caller_gone.add(1);
    }

    /// Counts the retries of a request that took `attempts` attempts.
    pub(crate) fn count_retries(&self, attempts: u32) {
        self.retries.add(u64::from(attempts.saturating_sub(1)));
    }

    pub(crate) fn count_crash(&self) {
        self.crashes.add(1);
    }

    pub(crate) fn count_late_frames(&self, n: u64) {
        self.late_frames.add(n);
    }

    pub(crate) fn record_first_token(&self, ms: f64) {
        self.first_token_ms.record(ms);
    }

    pub(crate) fn record_inter_token(&self, ms: f64) {
        self.inter_token_ms.record(ms);
    }

    pub(crate) fn count_tokens(&self, n: u32) {
        self.tokens.add(u64::from(n));
    }

    pub(crate) fn dump(&self) -> Value {
        json!({
            "requests": self.requests.total(),
            "not_run": self.not_run.total(),
            "may_have_run": self.may_have_run.total(),
            "ran": self.ran.total(),
            "truncated": self.truncated.total(),
            "caller_gone": self.caller_gone.total(),
            "retries": self.retries.total(),
            "crash_reports": self.crashes.total(),
            "late_frames": self.late_frames.total(),
            "tokens": self.tokens.total(),
        })
    }
}
