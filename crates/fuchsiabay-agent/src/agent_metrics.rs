//! The agent's metrics.

use fuchsiabay_admission::{JobClass, Load};
use fuchsiabay_base::Verdict;
use fuchsiabay_wire::RefusalReason;
use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram};

/// Handles of the metrics that are updated for each attempt or frame. They are looked up once, because a lookup per
/// frame would cost as much as relaying the frame.
pub(crate) struct AgentMetrics {
    queued: Gauge,
    running: Gauge,
    tokens: Counter,
    frames: Counter,
    short_wait_ms: Histogram,
    long_wait_ms: Histogram,
}

impl AgentMetrics {
    pub(crate) fn new() -> Self {
        Self {
            queued: gauge!("fuchsiabay_agent_queued"),
            running: gauge!("fuchsiabay_agent_running"),
            tokens: counter!("fuchsiabay_agent_tokens_total"),
            frames: counter!("fuchsiabay_agent_token_frames_total"),
            short_wait_ms: histogram!("fuchsiabay_agent_wait_ms", "class" => "short"),
            long_wait_ms: histogram!("fuchsiabay_agent_wait_ms", "class" => "long"),
        }
    }

    pub(crate) fn set_load(&self, load: &Load) {
        self.queued.set(f64::from(load.queued));
        self.running.set(f64::from(load.running));
    }

    pub(crate) fn count_frame(&self, tokens: u16) {
        self.tokens.increment(u64::from(tokens));
        self.frames.increment(1);
    }

    pub(crate) fn record_wait(&self, class: JobClass, ms: u64) {
        match class {
            JobClass::Short => self.short_wait_ms.record(ms as f64),
            JobClass::Long => self.long_wait_ms.record(ms as f64),
        }
    }

    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        counter!("fuchsiabay_agent_refusals_total", "reason" => reason_label(reason)).increment(1);
    }

    pub(crate) fn count_end(&self, verdict: Verdict) {
        counter!("fuchsiabay_agent_ends_total", "verdict" => verdict.as_str()).increment(1);
    }

    pub(crate) fn count_crash(&self, suspects: usize) {
        counter!("fuchsiabay_agent_backend_crashes_total").increment(1);
        counter!("fuchsiabay_agent_suspects_total").increment(suspects as u64);
    }
}

const fn reason_label(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::QueueFull => "queue-full",
        RefusalReason::WouldMissDeadline => "would-miss-deadline",
        RefusalReason::Draining => "draining",
        RefusalReason::BackendDown => "backend-down",
        RefusalReason::WrongService => "wrong-service",
        RefusalReason::KeyRequired => "key-required",
        RefusalReason::KeyOutsideWindow => "key-outside-window",
        RefusalReason::LogUnavailable => "log-unavailable",
        RefusalReason::ConfigStale => "config-stale",
        RefusalReason::WorkspaceLimit => "workspace-limit",
    }
}
