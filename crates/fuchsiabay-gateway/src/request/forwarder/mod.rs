//! Forwards one request: acquires a slot at a server for each attempt and decides after each failure whether to retry.

mod outcomes;
mod retries;

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use fuchsiabay_balancer::{Outcome, Quarantine};
use fuchsiabay_base::{InstanceId, Timestamp, Verdict};
use fuchsiabay_runtime::{monotonic_now, sleep_until};
use futures_lite::FutureExt;

use super::{
    RequestOutcome,
    routed_request::{RoutedRequest, STOPPING_RETRY_MS},
    running_attempt::RunningAttempt,
    server_statements::record_statements,
};
use crate::{
    backend::{Attempt, Failure, FailureKind, OutgoingRequest},
    caller::Interrupt,
    http::{BufferedSocket, Framing, ResponseHead},
    request_metrics,
    shard::{AcquireResult, SlotGuard, WaitEnd},
};

/// The interval at which a request in the queue checks whether it must not be sent any more, in milliseconds.
const QUEUE_POLL_INTERVAL_MS: u64 = 250;

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
    /// The current attempt, if its request was written.
    running: Option<RunningAttempt<'a>>,
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
            running: None,
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

    /// Records that a server sent a complete response.
    pub(super) fn record_response(&mut self, slot: &mut SlotGuard, head: &ResponseHead) {
        self.verdict = Verdict::Ran;
        slot.set_outcome(if head.status >= 500 { Outcome::Failure } else { Outcome::Success });
        let Some(running) = self.running.take() else {
            return;
        };
        // A response without a length also ends if its server crashes.
        let is_known_complete = head.framing != Framing::UntilClose;
        match head.is_success() && (is_known_complete || running.has_run_long()) {
            true => running.end_survived(),
            false => running.end_answered(),
        }
    }

    /// Records the time from the first to the last event that the current attempt received, and when the last one was.
    pub(super) fn record_progress(&mut self, ms: u64, last_event_at: Option<Timestamp>) {
        if let Some(running) = &mut self.running {
            running.record_progress(ms, last_event_at);
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
        self.check_sendable(since)?;
        let excluded: Vec<InstanceId> = self.tried.iter().chain(&self.unreachable).cloned().collect();
        let slot = match shard.acquire(self.request.job(&excluded, self.is_resumption)) {
            AcquireResult::Slot(slot) => slot,
            AcquireResult::Refused(refusal) => return Err(self.refuse(&refusal)),
            AcquireResult::Waiter(mut waiter) => {
                let wait = waiter.wait().or(self.wait_until_unsendable());
                let ended = self.request.until_interrupted(socket, wait).await;
                let ended = ended.map_err(|interrupt| self.interrupted_outcome(interrupt))?;
                self.check_sendable(monotonic_now())?;
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

    /// Returns once the request must not be sent any more.
    async fn wait_until_unsendable(&self) -> WaitEnd {
        loop {
            let now = monotonic_now();
            if self.quarantine(now).is_some() || !self.may_finish(now) {
                return WaitEnd::Expired;
            }
            sleep_until(now.plus_millis(QUEUE_POLL_INTERVAL_MS)).await;
        }
    }

    /// Returns why the request must be refused, if it is known to crash servers.
    fn quarantine(&self, now: Timestamp) -> Option<Quarantine> {
        self.request.gateway.crashes().quarantine(&self.request.suspects, now)
    }

    /// Returns whether the request probably finishes before this instance stops. A stream that has begun is resumed regardless.
    fn may_finish(&self, now: Timestamp) -> bool {
        self.is_resumption || self.request.gateway.drain().may_send(now, self.request.deadline)
    }

    /// Refuses the request if it would probably not finish, or is known to crash servers.
    fn check_sendable(&self, now: Timestamp) -> Result<(), RequestOutcome> {
        if !self.may_finish(now) {
            return Err(self.refusal_outcome("stopping", STOPPING_RETRY_MS));
        }
        let Some(quarantine) = self.quarantine(now) else {
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
        let previous_verdict = self.verdict;
        let slow_at = self.slow_at();
        let this = &*self;
        let mut running = None;
        let is_sent = Arc::new(AtomicBool::new(false));
        let attempt = async {
            let connections = &request.gateway.connections;
            let connection =
                connections.take(&server.id, server.address, request.kind().is_idempotent()).await?;
            // Opening the connection may have taken long.
            if !request.shard.send_permission(server).is_granted()
                || !request.shard.confirm_cold_send(&slot.grant)
                || this.quarantine(monotonic_now()).is_some()
            {
                return Err(Failure::not_run(FailureKind::Withheld));
            }
            let left_ms = request.deadline.millis_since(monotonic_now());
            let bytes = this.outgoing.encode(&server.id, left_ms, this.last_event_id.as_deref());
            let slow = async {
                this.wait_until_slow(&server.id, slow_at).await;
                Err(Failure::may_have_run(FailureKind::Slow))
            };
            let header_names = request.gateway.settings.header_names;
            running = Some(RunningAttempt::new(request, server, connection.opened_at));
            request_metrics::count_sent(&request.gateway.settings.zone, &server.zone);
            let observe = |head: &ResponseHead| record_statements(request, server, head);
            Attempt::start(connection, this.outgoing, bytes, header_names, &is_sent, observe).or(slow).await
        };
        let result = request.until_interrupted(socket, attempt).await;
        self.has_taken_retry = matches!(&result, Ok(Err(failure)) if failure.kind == FailureKind::Slow);
        self.verdict = match &result {
            Ok(Err(failure)) => previous_verdict.max(failure.verdict),
            // Nothing was written to the server before the attempt was interrupted.
            Err(_) if !is_sent.load(Ordering::Relaxed) => previous_verdict,
            // The request was or may have been sent, so it may have run unless the server reports otherwise. This also
            // holds for an interrupted attempt.
            Ok(Ok(_)) | Err(_) => Verdict::MayHaveRun,
        };
        if !is_sent.load(Ordering::Relaxed)
            && let Some(running) = running.take()
        {
            running.end_unsent();
        }
        let result = result.map_err(|interrupt| self.interrupted_outcome(interrupt))?;
        let has_responded = result.as_ref().map_or_else(|failure| failure.kind.is_response(), |_| true);
        if has_responded && let Some(running) = &mut running {
            running.record_response();
        }
        self.running = running;
        Ok(result)
    }

    /// Reports to the shard what a failure implies about the server or its group.
    fn report_to_shard(&self, server: &InstanceId, kind: FailureKind) {
        let shard = &self.request.shard;
        match kind {
            FailureKind::Full => shard.record_full(server),
            FailureKind::Unavailable => shard.record_unavailable(),
            FailureKind::Misdirected => shard.record_misdirected(server),
            FailureKind::ConnectionLost => shard.request_group_check(),
            FailureKind::Connect => {
                shard.record_unreachable(server);
                shard.request_group_check();
            }
            FailureKind::Withheld
            | FailureKind::InvalidResponse
            | FailureKind::Slow
            | FailureKind::ServerError => {}
        }
    }
}
