//! Decides after a failed or slow attempt whether the request is sent again.

use std::sync::Arc;

use fuchsiabay_balancer::{RouteKind, ServerRecord};
use fuchsiabay_base::{InstanceId, Timestamp, Verdict};
use fuchsiabay_runtime::{monotonic_now, sleep_until};

use super::{Forwarder, MIN_ATTEMPT_MS};
use crate::{
    backend::{Failure, FailureKind},
    request::RequestOutcome,
    request_metrics,
};

/// The time after which an attempt of a safe request counts as slow and is moved to another server, in percent of the
/// route's goal. Most responses arrive well within the goal, and the second attempt still has time before the deadline.
const SLOW_ATTEMPT_PERCENT: u64 = 150;

/// How many times a request may be sent again after a server reported that it is unavailable or not the expected server.
/// Each of these retries is also charged to the retry budget.
const MAX_UNAVAILABLE_ATTEMPTS: u32 = 3;

/// The interval at which a waiting request checks whether its server has stalled, in milliseconds.
const STALL_POLL_INTERVAL_MS: u64 = 250;

impl Forwarder<'_> {
    /// Records a failed attempt. Returns Ok if the request may be retried, otherwise its outcome.
    pub(crate) fn handle_failure(
        &mut self,
        server: &Arc<ServerRecord>,
        failure: Failure,
    ) -> Result<(), RequestOutcome> {
        let now = monotonic_now();
        self.verdict = self.verdict.max(failure.verdict);
        request_metrics::count_failed_attempt(failure);
        self.end_failed_attempt(failure.kind);
        match failure.kind {
            FailureKind::Connect => {
                self.request.gateway.crashes().record_unreachable(&server.as_ref().into(), now);
                self.tried.retain(|tried| *tried != server.id);
                self.unreachable.push(server.id.clone());
            }
            FailureKind::Withheld => self.tried.retain(|tried| *tried != server.id),
            // The server reported that it cannot run the request now, so this does not count as an attempt.
            FailureKind::Unavailable | FailureKind::Misdirected => {
                self.tried.retain(|tried| *tried != server.id);
                self.unavailable_attempts += 1;
            }
            _ => {}
        }
        let allowed = self.may_retry(failure, now);
        log::info!(
            request = self.request.request_id, server = server.id.as_str(), failure = failure.kind.as_str(),
            verdict = self.verdict.as_str(), attempts = self.tried.len(), retry = allowed,
            left_ms = self.request.deadline.millis_since(now);
            "attempt: failed"
        );
        if allowed { Ok(()) } else { Err(self.failure_outcome(failure)) }
    }

    /// Ends the current attempt. One that neither was refused nor has lost its connection is given up.
    fn end_failed_attempt(&mut self, kind: FailureKind) {
        let Some(running) = self.running.take() else {
            return;
        };
        match kind {
            FailureKind::ConnectionLost => running.end_lost(),
            FailureKind::Full | FailureKind::Unavailable | FailureKind::Misdirected => running.end_answered(),
            _ => drop(running),
        }
    }

    /// Returns whether the request may be retried instead of relaying a server's 5xx response.
    pub(crate) fn may_replace_server_error(&self) -> bool {
        self.may_retry(Failure::may_have_run(FailureKind::ServerError), monotonic_now())
    }

    /// Returns the time from which the attempt counts as slow. Only safe requests are moved for slowness, so for
    /// others it is past the deadline.
    pub(super) fn slow_at(&self) -> Timestamp {
        let route = &self.request.route;
        if route.kind != RouteKind::Safe {
            return self.request.deadline.plus_millis(1);
        }
        monotonic_now().plus_millis(route.goal_ms * SLOW_ATTEMPT_PERCENT / 100)
    }

    /// Waits until the request should be moved to another server: the attempt is slow or its server has stalled while others
    /// respond, another server has a free slot, and a retry could be taken from the budget. Never returns if the request is
    /// not idempotent or has no attempts left.
    pub(super) async fn wait_until_slow(&self, server: &InstanceId, slow_at: Timestamp) {
        let may_move =
            self.request.kind().is_idempotent() && (self.tried.len() as u32) < self.request.route.attempts;
        loop {
            let now = monotonic_now();
            let is_slow = now >= slow_at || self.request.shard.is_stalled(server);
            if may_move
                && is_slow
                && self.request.deadline.millis_since(now) >= MIN_ATTEMPT_MS
                && self.request.shard.has_free_slot(&self.request.job(&self.tried, self.is_resumption))
                && self.take_retry(now)
            {
                return;
            }
            let next = if now < slow_at {
                slow_at.min(now.plus_millis(STALL_POLL_INTERVAL_MS))
            } else {
                now.plus_millis(STALL_POLL_INTERVAL_MS)
            };
            sleep_until(next).await;
        }
    }

    pub(super) fn may_retry(&self, failure: Failure, now: Timestamp) -> bool {
        let request = self.request;
        let is_repeatable =
            self.verdict.max(failure.verdict) == Verdict::NotRun || request.kind().is_idempotent();
        let has_attempts_left = (self.tried.len() as u32) < request.route.attempts
            && self.unavailable_attempts <= MAX_UNAVAILABLE_ATTEMPTS;
        let has_time_left = request.deadline.millis_since(now) >= MIN_ATTEMPT_MS;
        if !is_repeatable || !has_attempts_left || !has_time_left {
            return false;
        }
        // If the server received nothing, the next attempt is not charged to the retry budget.
        failure.kind.is_unsent() || self.has_taken_retry || self.take_retry(now)
    }

    pub(super) fn take_retry(&self, now: Timestamp) -> bool {
        self.request.shard.take_retry(self.request.gateway.instance_count(), now)
    }
}
