//! Log lines and metrics of the concurrency limit of lockstep ranks.

use fuchsiabay_balancer::{LimitState, LimitStatus};
use fuchsiabay_base::ServiceName;

/// Records the limit and the measured time between events.
pub(crate) fn record(service: &ServiceName, status: &LimitStatus) {
    let limit = match status.state {
        LimitState::Limited => status.requests_per_rank,
        LimitState::NotNeeded | LimitState::TooCostly => f64::from(status.slots),
    };
    let service = service.to_string();
    metrics::gauge!("fuchsiabay_concurrency_limit", "service" => service.clone()).set(limit);
    metrics::gauge!("fuchsiabay_event_gap_ms", "service" => service).set(status.gap_ms);
}

/// Logs that the limit has begun, changed considerably or ended, with what it was computed from.
pub(crate) fn log_change(service: &ServiceName, status: &LimitStatus) {
    log::info!(
        service = service.as_str(), state = status.state.as_str(), requests_per_rank = rounded(status.requests_per_rank),
        slots = status.slots, gap_ms = rounded(status.gap_ms), gap_goal_ms = status.goal_ms,
        running = rounded(status.running), lost_throughput = rounded(status.lost_throughput);
        "step limit: changed"
    );
}

fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
