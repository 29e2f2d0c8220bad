//! Forwards one request: acquires a slot at a server for each attempt and decides after each failure whether to retry.

use std::sync::Arc;

use fuchsiabay_balancer::{Outcome, Refusal, RouteKind, ServerRecord};
use fuchsiabay_base::{InstanceId, Timestamp, Verdict};
use fuchsiabay_runtime::{monotonic_now, sleep_until};
use futures_lite::FutureExt;

use super::{RequestOutcome, routed_request::RoutedRequest, server_statements::record_statements};
use crate::{
    backend::{Attempt, Failure, FailureKind, OutgoingRequest},
    caller::{Interrupt, LocalResponse, until_interrupted},
    http::{BufferedSocket, Framing, ResponseHead},
    request_metrics,
    shard::{AcquireResult, SlotGuard, WaitEnd},
};

/// `Retry-After` of a response that reports an unavailable server, in milliseconds.
const UNAVAILABLE_RETRY_MS: u64 = 700;

/// `Retry-After` of a response to a request that timed out in the queue, in milliseconds. It is longer than the others,
/// because the queue does not drain within a moment.
const QUEUE_TIMEOUT_RETRY_MS: u64 = 2_000;

/// The time after which an attempt of a safe request counts as slow and is moved to another server, in percent of the
/// route's goal. Most responses arrive well within the goal, and the second attempt still has time before the deadline.
const SLOW_ATTEMPT_PERCENT: u64 = 150;

/// How many times a request may be sent again after a server reported that it is unavailable or not the expected server.
/// Each of these retries is also charged to the retry budget.
const MAX_UNAVAILABLE_ATTEMPTS: u32 = 3;

/// The interval at which a waiting request checks whether its server has stalled, in milliseconds.
const STALL_POLL_INTERVAL_MS: u64 = 250;

/// The interval at which a request in the queue checks whether it has become known to crash servers, in milliseconds.
const QUEUE_POLL_INTERVAL_MS: u64 = 250;

/// The time from the first to the last event of a response at which its request is known not to crash the server, in
/// milliseconds. Time without events does not count, because the ranks of a group stall after one of them has crashed.
const SURVIVAL_MS: u64 = 500;

/// The minimum time before the deadline for another attempt, in milliseconds.
const MIN_ATTEMPT_MS: u64 = 20;

/// Forwards one request and keeps the state that spans its attempts.
pub(super) struct Forwarder<'a> {
    pub(super) request: &'a RoutedRequest<'a>,
    outgoing: &'a OutgoingRequest,
    /// Servers of the attempts that count towards the route's limit. Retries exclude them.
    tried: Vec<InstanceId>,
    /// Servers that could not be connected to. Retries exclude them, but they do not count as attempts.
    unreachable: Vec<InstanceId>,
    /// The strongest verdict of all attempts so far.
    pub(super) verdict: Verdict,
    /// The id of the last event that the caller received.
    pub(super) last_event_id: Option<String>,
    /// Whether the response head was already written to the caller, so that a further attempt resumes the stream.
    pub(super) is_resumption: bool,
    waited_ms: u64,
    /// The number of attempts that failed with `Unavailable` or `Misdirected`.
    unavailable_attempts: u32,
    /// Whether the retry that moves the request from a slow server was taken from the budget.
    has_taken_retry: bool,
    /// The time from the first to the last event that the current attempt received, in milliseconds.
    progress_ms: u64,
}

impl<'a> Forwarder<'a> {
    pub(super) fn new(request: &'a RoutedRequest<'a>, outgoing: &'a OutgoingRequest) -> Self {
        request.shard.count_request(request.arrived);
        Self {
            request,
            outgoing,
            tried: Vec::new(),
            unreachable: Vec::new(),
            verdict: Verdict::NotRun,
            last_event_id: outgoing.last_event_id.clone(),
            is_resumption: false,
            waited_ms: 0,
            unavailable_attempts: 0,
            has_taken_retry: false,
            progress_ms: 0,
        }
    }

    /// Sends the request, with retries, until a server begins its response.
    pub(super) async fn send_with_retries(
        &mut self,
        socket: &mut BufferedSocket,
    ) -> Result<(SlotGuard, Attempt), RequestOutcome> {
        loop {
            let mut slot = self.acquire_slot(socket).await?;
            match self.send_attempt(socket, &slot).await? {
                Ok(attempt) => {
                    slot.record_response_started();
                    return Ok((slot, attempt));
                }
                Err(failure) => {
                    slot.set_outcome(failure.outcome());
                    self.report_to_shard(&slot.grant.server.id, failure.kind);
                    let server = slot.grant.server.clone();
                    drop(slot);
                    self.handle_failure(&server, failure)?;
                }
            }
        }
    }

    /// Records a failed attempt. Returns Ok if the request may be retried, otherwise its outcome.
    pub(super) fn handle_failure(
        &mut self,
        server: &Arc<ServerRecord>,
        failure: Failure,
    ) -> Result<(), RequestOutcome> {
        let now = monotonic_now();
        self.verdict = self.verdict.max(failure.verdict);
        request_metrics::count_failed_attempt(failure);
        if failure.kind == FailureKind::ConnectionLost {
            self.record_lost_connection(server, now);
        }
        match failure.kind {
            FailureKind::Connect => {
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

    /// Returns whether the request may be retried instead of relaying a server's 5xx response.
    pub(super) fn may_replace_server_error(&self) -> bool {
        self.may_retry(Failure::may_have_run(FailureKind::ServerError), monotonic_now())
    }

    /// Records that a server sent a complete response.
    pub(super) fn record_response(&mut self, slot: &mut SlotGuard, head: &ResponseHead) {
        self.verdict = Verdict::Ran;
        slot.set_outcome(if head.status >= 500 { Outcome::Failure } else { Outcome::Success });
        // A response without a length also ends if its server crashes.
        let is_known_complete = head.framing != Framing::UntilClose;
        let now = monotonic_now();
        if head.is_success() && (is_known_complete || self.has_run_long()) {
            self.request.gateway.crashes().record_survival(&self.request.suspects, now);
        }
    }

    /// Records the time from the first to the last event that the current attempt received.
    pub(super) fn record_progress(&mut self, ms: u64) {
        self.progress_ms = ms;
    }

    /// Records that the connection was lost before the response was complete. If the response had just begun, or not yet, the
    /// request may have crashed the server.
    fn record_lost_connection(&self, server: &Arc<ServerRecord>, now: Timestamp) {
        let suspects = &self.request.suspects;
        if self.has_run_long() {
            self.request.gateway.crashes().record_survival(suspects, now);
            return;
        }
        self.request.gateway.crashes().record_loss(&server.as_ref().into(), suspects, now);
        log::info!(
            request = self.request.request_id, server = server.id.as_str(),
            prompt_parts = self.request.prompt_parts();
            "crash: suspected"
        );
    }

    /// Returns whether the current attempt received events for so long that the request does not crash servers.
    const fn has_run_long(&self) -> bool {
        self.progress_ms >= SURVIVAL_MS
    }

    /// Returns the outcome of a request that was interrupted before its response was complete.
    pub(super) fn interrupted_outcome(&self, interrupt: Interrupt) -> RequestOutcome {
        match interrupt {
            Interrupt::CallerGone => RequestOutcome::CallerGone,
            Interrupt::DeadlinePassed if self.is_resumption => RequestOutcome::Aborted { reason: "timeout" },
            Interrupt::DeadlinePassed if self.verdict == Verdict::NotRun => {
                RequestOutcome::Local(LocalResponse::unavailable("timeout_in_queue", QUEUE_TIMEOUT_RETRY_MS))
            }
            Interrupt::DeadlinePassed => RequestOutcome::Local(LocalResponse::gateway_timeout(self.verdict)),
        }
    }

    /// Returns the outcome of a request that was interrupted while its response was being written.
    pub(super) fn interrupted_write_outcome(&self, interrupt: Interrupt) -> RequestOutcome {
        match interrupt {
            Interrupt::CallerGone => RequestOutcome::CallerGone,
            Interrupt::DeadlinePassed => RequestOutcome::Aborted { reason: "caller_does_not_read" },
        }
    }

    /// Records the retries and the time in the queue in the metrics.
    pub(super) fn record(&self) {
        let retries = self.tried.len().saturating_sub(1) as u64;
        if retries > 0 {
            metrics::counter!("fuchsiabay_retries_total").increment(retries);
        }
        request_metrics::record_queue_wait(self.request.kind(), self.waited_ms);
    }

    /// Acquires a slot at a server that the request was not sent to yet, waiting in the queue if necessary.
    async fn acquire_slot(&mut self, socket: &mut BufferedSocket) -> Result<SlotGuard, RequestOutcome> {
        let since = monotonic_now();
        let shard = &self.request.shard;
        self.check_quarantine(since)?;
        let excluded: Vec<InstanceId> = self.tried.iter().chain(&self.unreachable).cloned().collect();
        let slot = match shard.acquire(self.request.job(&excluded, self.is_resumption)) {
            AcquireResult::Slot(slot) => slot,
            AcquireResult::Refused(refusal) => return Err(self.refuse(&refusal)),
            AcquireResult::Waiter(mut waiter) => {
                let wait = waiter.wait().or(self.wait_until_quarantined());
                let ended = until_interrupted(socket, self.request.deadline, wait).await;
                let ended = ended.map_err(|interrupt| self.interrupted_outcome(interrupt))?;
                self.check_quarantine(monotonic_now())?;
                match ended {
                    WaitEnd::Slot(slot) => slot,
                    WaitEnd::Refused(refusal) => return Err(self.refuse(&refusal)),
                    WaitEnd::Expired => return Err(self.interrupted_outcome(Interrupt::DeadlinePassed)),
                }
            }
        };
        let now = monotonic_now();
        self.waited_ms += now.millis_since(since);
        log::info!(
            request = self.request.request_id, route = self.request.route.name.as_str(), service = shard.name().as_str(),
            server = slot.grant.server.id.as_str(), attempt = self.tried.len() + 1, load = slot.grant.load,
            load_age_ms = slot.grant.load_age_ms, waited_ms = self.waited_ms, config = self.request.config.version(),
            left_ms = self.request.deadline.millis_since(now);
            "attempt: sent"
        );
        Ok(slot)
    }

    fn refuse(&self, refusal: &Refusal) -> RequestOutcome {
        log::info!(
            request = self.request.request_id, service = self.request.shard.name().as_str(),
            reason = refusal.reason.as_str(), queued = refusal.queued,
            predicted_wait_ms = refusal.predicted_wait_ms, retry_after_ms = refusal.retry_after_ms;
            "admission: refused"
        );
        self.refusal_outcome(refusal.reason.as_str(), refusal.retry_after_ms)
    }

    /// Returns once it becomes known that the request crashes servers.
    async fn wait_until_quarantined(&self) -> WaitEnd {
        loop {
            let now = monotonic_now();
            if self.request.gateway.crashes().quarantine(&self.request.suspects, now).is_some() {
                return WaitEnd::Expired;
            }
            sleep_until(now.plus_millis(QUEUE_POLL_INTERVAL_MS)).await;
        }
    }

    /// Refuses the request if it is known to crash servers.
    fn check_quarantine(&self, now: Timestamp) -> Result<(), RequestOutcome> {
        let Some(quarantine) = self.request.gateway.crashes().quarantine(&self.request.suspects, now) else {
            return Ok(());
        };
        metrics::counter!("fuchsiabay_quarantined_requests_total").increment(1);
        log::info!(
            request = self.request.request_id, fingerprint:% = quarantine.fingerprint, crashes = quarantine.crashes,
            prompt_parts = self.request.prompt_parts(), left_ms = quarantine.until.millis_since(now);
            "crash: request refused"
        );
        Err(self.refusal_outcome("crashes_servers", quarantine.until.millis_since(now)))
    }

    /// Sends the request to the server of `slot`. The outer error ends the request, the inner one only this attempt.
    async fn send_attempt(
        &mut self,
        socket: &mut BufferedSocket,
        slot: &SlotGuard,
    ) -> Result<Result<Attempt, Failure>, RequestOutcome> {
        // After a pause of this instance, the request and its caller's disconnect are read at the same time.
        if socket.is_closed_by_peer().await {
            return Err(RequestOutcome::CallerGone);
        }
        let request = self.request;
        let server = &slot.grant.server;
        self.tried.push(server.id.clone());
        self.progress_ms = 0;
        let sent_at = monotonic_now();
        let previous_verdict = self.verdict;
        let slow_at = self.slow_at();
        let this = &*self;
        let attempt = async {
            let connections = &request.gateway.connections;
            let connection =
                connections.take(&server.id, server.address, request.kind().is_idempotent()).await?;
            // Opening the connection may have taken long.
            if !request.shard.send_permission(server).is_granted() {
                return Err(Failure::not_run(FailureKind::Withheld));
            }
            let left_ms = request.deadline.millis_since(monotonic_now());
            let bytes = this.outgoing.encode(&server.id, left_ms, this.last_event_id.as_deref());
            let slow = async {
                this.wait_until_slow(&server.id, slow_at).await;
                Err(Failure::may_have_run(FailureKind::Slow))
            };
            let header_names = request.gateway.settings.header_names;
            let observe = |head: &ResponseHead| record_statements(request, server, head);
            Attempt::start(connection, this.outgoing, &bytes, header_names, observe).or(slow).await
        };
        let result = until_interrupted(socket, request.deadline, attempt).await;
        self.has_taken_retry = matches!(&result, Ok(Err(failure)) if failure.kind == FailureKind::Slow);
        self.verdict = match &result {
            Ok(Err(failure)) => previous_verdict.max(failure.verdict),
            // The request was or may have been sent, so it may have run unless the server reports otherwise. This also
            // holds for an interrupted attempt.
            Ok(Ok(_)) | Err(_) => Verdict::MayHaveRun,
        };
        let result = result.map_err(|interrupt| self.interrupted_outcome(interrupt))?;
        let has_responded = result.as_ref().map_or_else(|failure| failure.kind.is_response(), |_| true);
        if has_responded {
            let now = monotonic_now();
            request.gateway.crashes().record_response(&server.as_ref().into(), sent_at, now);
        }
        Ok(result)
    }

    /// Reports to the shard what a failure implies about the server or its group.
    fn report_to_shard(&self, server: &InstanceId, kind: FailureKind) {
        let shard = &self.request.shard;
        match kind {
            FailureKind::Full => shard.record_full(server),
            FailureKind::Unavailable => shard.record_unavailable(),
            FailureKind::Misdirected => shard.record_misdirected(server),
            FailureKind::ConnectionLost | FailureKind::Connect => shard.request_group_check(),
            FailureKind::Withheld
            | FailureKind::InvalidResponse
            | FailureKind::Slow
            | FailureKind::ServerError => {}
        }
    }

    /// Returns the time from which the attempt counts as slow. Only safe requests are moved for slowness, so for
    /// others it is past the deadline.
    fn slow_at(&self) -> Timestamp {
        let route = &self.request.route;
        if route.kind != RouteKind::Safe {
            return self.request.deadline.plus_millis(1);
        }
        monotonic_now().plus_millis(route.goal_ms * SLOW_ATTEMPT_PERCENT / 100)
    }

    /// Waits until the request should be moved to another server: the attempt is slow or its server has stalled while others
    /// respond, another server has a free slot, and a retry could be taken from the budget. Never returns if the request is
    /// not idempotent or has no attempts left.
    async fn wait_until_slow(&self, server: &InstanceId, slow_at: Timestamp) {
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

    fn may_retry(&self, failure: Failure, now: Timestamp) -> bool {
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

    fn take_retry(&self, now: Timestamp) -> bool {
        self.request.shard.take_retry(self.request.gateway.instance_count(), now)
    }

    fn failure_outcome(&self, failure: Failure) -> RequestOutcome {
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

    fn refusal_outcome(&self, reason: &'static str, retry_after_ms: u64) -> RequestOutcome {
        if self.is_resumption {
            return RequestOutcome::Aborted { reason };
        }
        if self.verdict == Verdict::NotRun {
            return RequestOutcome::Local(LocalResponse::unavailable(reason, retry_after_ms));
        }
        RequestOutcome::Local(LocalResponse::bad_gateway(reason, self.verdict))
    }
}
