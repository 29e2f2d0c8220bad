//! Metrics of the request path.

use fuchsiabay_balancer::RouteKind;
use fuchsiabay_base::ZoneName;

use crate::backend::Failure;

/// Counts a finished request and records its duration.
pub(crate) fn record_request(kind: RouteKind, outcome: &'static str, ms: u64) {
    let kind = kind.as_str();
    metrics::counter!("fuchsiabay_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
    metrics::histogram!("fuchsiabay_request_ms", "kind" => kind).record(ms as f64);
}

/// Records the time from the arrival of a request to the first event of its stream.
pub(crate) fn record_first_event(ms: u64) {
    metrics::histogram!("fuchsiabay_first_event_ms").record(ms as f64);
}

/// Records the time that a request waited for a slot.
pub(crate) fn record_queue_wait(kind: RouteKind, ms: u64) {
    metrics::histogram!("fuchsiabay_queue_wait_ms", "kind" => kind.as_str()).record(ms as f64);
}

/// Counts a request that is sent to a server.
pub(crate) fn count_sent(from: &ZoneName, to: &ZoneName) {
    let (from, to) = (from.to_string(), to.to_string());
    metrics::counter!("fuchsiabay_requests_sent_total", "from_zone" => from, "to_zone" => to).increment(1);
}

/// Counts a failed attempt.
pub(crate) fn count_failed_attempt(failure: Failure) {
    let kind = failure.kind.as_str();
    metrics::counter!("fuchsiabay_attempt_failures_total", "kind" => kind, "verdict" => failure.verdict.as_str())
        .increment(1);
}
