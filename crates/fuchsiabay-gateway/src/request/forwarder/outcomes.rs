//! The outcomes of a request that no server has answered.

use fuchsiabay_balancer::Refusal;
use fuchsiabay_base::Verdict;
use fuchsiabay_runtime::monotonic_now;

use super::Forwarder;
use crate::{
    backend::Failure,
    caller::{Interrupt, LocalResponse},
    request::{RequestOutcome, routed_request::STOPPING_RETRY_MS},
};

/// `Retry-After` of a response that reports an unavailable server, in milliseconds.
const UNAVAILABLE_RETRY_MS: u64 = 700;

/// `Retry-After` of a response to a request that timed out in the queue, in milliseconds. It is longer than the others,
/// because the queue does not drain within a moment.
const QUEUE_TIMEOUT_RETRY_MS: u64 = 2_000;

impl Forwarder<'_> {
    /// Returns the outcome of a request that was interrupted before its response was complete.
    pub(crate) fn interrupted_outcome(&self, interrupt: Interrupt) -> RequestOutcome {
        match interrupt {
            Interrupt::CallerGone => RequestOutcome::CallerGone,
            Interrupt::Stopping => self.refusal_outcome("stopping", STOPPING_RETRY_MS),
            Interrupt::DeadlinePassed if self.is_resumption => RequestOutcome::Aborted { reason: "timeout" },
            Interrupt::DeadlinePassed if self.verdict == Verdict::NotRun => {
                RequestOutcome::Local(LocalResponse::unavailable("timeout_in_queue", QUEUE_TIMEOUT_RETRY_MS))
            }
            Interrupt::DeadlinePassed => RequestOutcome::Local(LocalResponse::gateway_timeout(self.verdict)),
        }
    }

    /// Returns the outcome of a request that was interrupted while its response was being written.
    pub(crate) fn interrupted_write_outcome(&self, interrupt: Interrupt) -> RequestOutcome {
        match interrupt {
            Interrupt::CallerGone => RequestOutcome::CallerGone,
            Interrupt::DeadlinePassed | Interrupt::Stopping => {
                RequestOutcome::Aborted { reason: "caller_does_not_read" }
            }
        }
    }

    pub(super) fn refuse(&self, refusal: &Refusal) -> RequestOutcome {
        log::info!(
            request = self.request.request_id, service = self.request.shard.name().as_str(),
            reason = refusal.reason.as_str(), queued = refusal.queued,
            predicted_wait_ms = refusal.predicted_wait_ms, retry_after_ms = refusal.retry_after_ms;
            "admission: refused"
        );
        self.refusal_outcome(refusal.reason.as_str(), refusal.retry_after_ms)
    }

    pub(super) fn failure_outcome(&self, failure: Failure) -> RequestOutcome {
        if self.is_resumption {
            return RequestOutcome::Aborted { reason: failure.kind.as_str() };
        }
        if self.verdict == Verdict::NotRun {
            let job = self.request.job(&self.tried, self.is_resumption);
            let paused_until = self.request.shard.paused_until(&job);
            let retry_after_ms =
                paused_until.map_or(UNAVAILABLE_RETRY_MS, |until| until.millis_since(monotonic_now()));
            return RequestOutcome::Local(LocalResponse::unavailable(failure.kind.as_str(), retry_after_ms));
        }
        RequestOutcome::Local(LocalResponse::bad_gateway(failure.kind.as_str(), self.verdict))
    }

    pub(super) fn refusal_outcome(&self, reason: &'static str, retry_after_ms: u64) -> RequestOutcome {
        if self.is_resumption {
            return RequestOutcome::Aborted { reason };
        }
        if self.verdict == Verdict::NotRun {
            return RequestOutcome::Local(LocalResponse::unavailable(reason, retry_after_ms));
        }
        RequestOutcome::Local(LocalResponse::bad_gateway(reason, self.verdict))
    }
}
