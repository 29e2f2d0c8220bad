//! The attempts of one request: which server, and what after a failure.

use fuchsiabay_balancer::{Outcome, RouteKind};
use fuchsiabay_base::{InstanceId, Timestamp, Verdict};
use fuchsiabay_runtime::{monotonic_now, sleep_until};
use futures_lite::FutureExt;

use super::{End, call::Call};
use crate::{
    backend::{Attempt, Failure, FailureKind, OutgoingRequest},
    caller::{Interrupt, OwnResponse, until_interrupted},
    http::BufferedSocket,
    meters,
    shard::{Acquired, Lease},
};

/// When a caller should come back after a server that it needs was unavailable, in milliseconds.
const UNAVAILABLE_RETRY_MS: u64 = 700;

/// When a caller should come back after it waited for a place in vain, in milliseconds. The queue that it met is still there a
/// moment later.
const QUEUE_TIMEOUT_RETRY_MS: u64 = 2_000;

/// The part of a request's goal after which an idempotent request is tried at another server, in percent. Most responses
/// come well within the goal, and the second attempt still has time before the deadline.
const HEDGE_PERCENT: u64 = 150;

/// How often a request may meet a server that can run nothing before it is given up. Each time counts against the budget.
const MAX_TURNED_AWAY: u32 = 3;

/// The interval in which a waiting request looks whether its server has gone silent, in milliseconds.
const STALL_POLL_MS: u64 = 250;

/// The least time that a further attempt must have, in milliseconds.
const MIN_ATTEMPT_MS: u64 = 20;

/// The course of one request.
pub(super) struct Course<'a> {
    pub(super) call: &'a Call<'a>,
    req: &'a OutgoingRequest,
    /// Servers that the request was sent to.
    tried: Vec<InstanceId>,
    /// Servers that could not be reached.
    unreachable: Vec<InstanceId>,
    /// The strongest statement about execution so far.
    pub(super) verdict: Verdict,
    /// The last event that the caller has.
    pub(super) last_event_id: Option<String>,
    /// Whether part of the response has reached the caller.
    pub(super) is_resumption: bool,
    waited_ms: u64,
    /// How often a server or its group could run nothing.
    turned_away: u32,
}

impl<'a> Course<'a> {
    pub(super) fn new(call: &'a Call<'a>, req: &'a OutgoingRequest) -> Self {
        call.shard.count_request(call.arrived);
        Self {
            call,
            req,
            tried: Vec::new(),
            unreachable: Vec::new(),
            verdict: Verdict::NotRun,
            last_event_id: req.last_event_id.clone(),
            is_resumption: false,
            waited_ms: 0,
            turned_away: 0,
        }
    }

    /// Sends the request until a server begins a response.
    pub(super) async fn start(&mut self, socket: &mut BufferedSocket) -> Result<(Lease, Attempt), End> {
        loop {
            let mut lease = self.place(socket).await?;
            match self.send(socket, &lease).await? {
                Ok(attempt) => {
                    lease.note_answered();
                    return Ok((lease, attempt));
                }
                Err(failure) => {
                    lease.set_outcome(failure.outcome());
                    self.note_refusal(&lease.grant.server.id, failure.kind);
                    let server = lease.grant.server.id.clone();
                    drop(lease);
                    self.after_failure(&server, failure)?;
                }
            }
        }
    }

    /// Decides what follows a failed attempt: returns Ok when the request may be sent again.
    pub(super) fn after_failure(&mut self, server: &InstanceId, failure: Failure) -> Result<(), End> {
        let now = monotonic_now();
        self.verdict = self.verdict.max(failure.verdict);
        meters::attempt_failed(failure);
        if failure.kind == FailureKind::Broken {
            self.call.shard.note_crash(self.call.fingerprint, now);
        }
        match failure.kind {
            FailureKind::Connect => {
                self.tried.retain(|tried| tried != server);
                self.unreachable.push(server.clone());
            }
            // The server said that nothing of it can run the request now, so it does not count as one of the servers that
            // the request was tried at.
            FailureKind::Unavailable | FailureKind::Misdirected => {
                self.tried.retain(|tried| tried != server);
                self.turned_away += 1;
            }
            _ => {}
        }
        let allowed = self.may_send_again(failure, now);
        log::info!(
            request = self.call.request_id, server = server.as_str(), failure = failure.kind.as_str(),
            verdict = self.verdict.as_str(), attempts = self.tried.len(), retry = allowed,
            left_ms = self.call.end_at.millis_since(now);
            "attempt: failed"
        );
        if allowed { Ok(()) } else { Err(self.give_up(failure)) }
    }

    /// Returns whether a response that tells of a server's own failure may be replaced by another attempt.
    pub(super) fn may_replace_server_error(&self) -> bool {
        self.may_send_again(Failure::may_have_run(FailureKind::ServerError), monotonic_now())
    }

    /// Notes that a server answered.
    pub(super) fn note_answer(&mut self, lease: &mut Lease, status: u16) {
        self.verdict = Verdict::Ran;
        lease.set_outcome(if status >= 500 { Outcome::Failure } else { Outcome::Success });
        self.call.shard.clear_crashes(&self.call.fingerprint);
    }

    /// Returns the end of a request whose time is up or whose caller left.
    pub(super) fn interrupted(&self, interrupt: Interrupt) -> End {
        match interrupt {
            Interrupt::CallerGone => End::CallerGone,
            Interrupt::DeadlinePassed if self.is_resumption => End::Aborted { reason: "timeout" },
            Interrupt::DeadlinePassed if self.verdict == Verdict::NotRun => {
                End::Own(OwnResponse::unavailable("timeout_in_queue", QUEUE_TIMEOUT_RETRY_MS))
            }
            Interrupt::DeadlinePassed => End::Own(OwnResponse::gateway_timeout(self.verdict)),
        }
    }

    /// Returns the end of a request whose response could not be written.
    pub(super) fn interrupted_write(&self, interrupt: Interrupt) -> End {
        match interrupt {
            Interrupt::CallerGone => End::CallerGone,
            Interrupt::DeadlinePassed => End::Aborted { reason: "caller_does_not_read" },
        }
    }

    /// Records the attempts for the metrics.
    pub(super) fn record(&self) {
        let retries = self.tried.len().saturating_sub(1) as u64;
        if retries > 0 {
            metrics::counter!("fuchsiabay_retries_total").increment(retries);
        }
        meters::waited(self.call.kind(), self.waited_ms);
    }

    /// Waits for a place at a server.
    async fn place(&mut self, socket: &mut BufferedSocket) -> Result<Lease, End> {
        let since = monotonic_now();
        let shard = &self.call.shard;
        if shard.is_refused(&self.call.fingerprint, since) {
            return Err(self.refuse("crashes_servers", UNAVAILABLE_RETRY_MS));
        }
        let excluded: Vec<InstanceId> = self.tried.iter().chain(&self.unreachable).cloned().collect();
        let lease = match shard.acquire(self.call.job(&excluded, self.is_resumption)) {
            Acquired::Lease(lease) => lease,
            Acquired::Refused(refusal) => {
                log::info!(
                    request = self.call.request_id, service = shard.name().as_str(),
                    reason = refusal.reason.as_str(), queued = refusal.queued,
                    predicted_wait_ms = refusal.predicted_wait_ms, retry_after_ms = refusal.retry_after_ms;
                    "admission: refused"
                );
                return Err(self.refuse(refusal.reason.as_str(), refusal.retry_after_ms));
            }
            Acquired::Waiter(mut waiter) => {
                let granted = until_interrupted(socket, self.call.end_at, waiter.wait()).await;
                match granted.map_err(|interrupt| self.interrupted(interrupt))? {
                    Some(lease) => lease,
                    None => return Err(self.interrupted(Interrupt::DeadlinePassed)),
                }
            }
        };
        let now = monotonic_now();
        self.waited_ms += now.millis_since(since);
        log::info!(
            request = self.call.request_id, route = self.call.route.name.as_str(), service = shard.name().as_str(),
            server = lease.grant.server.id.as_str(), attempt = self.tried.len() + 1, load = lease.grant.load,
            load_age_ms = lease.grant.load_age_ms, waited_ms = self.waited_ms, config = self.call.serving.version(),
            left_ms = self.call.end_at.millis_since(now);
            "attempt: sent"
        );
        Ok(lease)
    }

    /// Sends the request to the server of `lease`. The outer error ends the request, the inner one the attempt.
    async fn send(
        &mut self,
        socket: &mut BufferedSocket,
        lease: &Lease,
    ) -> Result<Result<Attempt, Failure>, End> {
        let call = self.call;
        let server = &lease.grant.server;
        self.tried.push(server.id.clone());
        let before = self.verdict;
        let slow_at = self.slow_at();
        let work = async {
            let connections = &call.gateway.connections;
            let connection =
                connections.take(&server.id, server.address, call.kind().is_idempotent()).await?;
            let left_ms = call.end_at.millis_since(monotonic_now());
            let bytes = self.req.encode(&server.id, left_ms, self.last_event_id.as_deref());
            let slow = async {
                self.wait_until_slow(&server.id, slow_at).await;
                Err(Failure::may_have_run(FailureKind::Slow))
            };
            Attempt::start(connection, self.req, &bytes, call.gateway.settings.dialect).or(slow).await
        };
        let result = until_interrupted(socket, call.end_at, work).await;
        self.verdict = match &result {
            Ok(Err(failure)) => before.max(failure.verdict),
            // Until the server says otherwise the request may have run, also when it was interrupted.
            Ok(Ok(_)) | Err(_) => Verdict::MayHaveRun,
        };
        let result = result.map_err(|interrupt| self.interrupted(interrupt))?;
        if let Ok(attempt) = &result {
            note_load(call, &server.id, attempt);
        }
        Ok(result)
    }

    /// Takes over what a failure says about the state of the server or its group.
    fn note_refusal(&self, server: &InstanceId, kind: FailureKind) {
        let shard = &self.call.shard;
        match kind {
            FailureKind::Full => shard.note_full(server),
            FailureKind::Unavailable => shard.note_unavailable(),
            FailureKind::Misdirected => shard.note_misdirected(server),
            FailureKind::Broken | FailureKind::Connect => shard.suspect(),
            FailureKind::Garbled | FailureKind::Slow | FailureKind::ServerError => {}
        }
    }

    /// Returns when an attempt counts as slow.
    fn slow_at(&self) -> Timestamp {
        let route = &self.call.route;
        if route.kind != RouteKind::Safe {
            return self.call.end_at.plus_millis(1);
        }
        monotonic_now().plus_millis(route.goal_ms * HEDGE_PERCENT / 100)
    }

    /// Waits until an attempt should be moved to another server that has a place: after `slow_at`, or once the server of an
    /// idempotent request has gone silent while others answer.
    async fn wait_until_slow(&self, server: &InstanceId, slow_at: Timestamp) {
        let may_move =
            self.call.kind().is_idempotent() && (self.tried.len() as u32) < self.call.route.attempts;
        loop {
            let now = monotonic_now();
            let is_slow = now >= slow_at || self.call.shard.is_stalled(server);
            if may_move
                && is_slow
                && self.call.shard.has_place(&self.call.job(&self.tried, self.is_resumption))
            {
                return;
            }
            let next = if now < slow_at {
                slow_at.min(now.plus_millis(STALL_POLL_MS))
            } else {
                now.plus_millis(STALL_POLL_MS)
            };
            sleep_until(next).await;
        }
    }

    fn may_send_again(&self, failure: Failure, now: Timestamp) -> bool {
        let call = self.call;
        let is_harmless = self.verdict.max(failure.verdict) == Verdict::NotRun || call.kind().is_idempotent();
        let has_attempt =
            (self.tried.len() as u32) < call.route.attempts && self.turned_away <= MAX_TURNED_AWAY;
        let has_time = call.end_at.millis_since(now) >= MIN_ATTEMPT_MS;
        if !is_harmless || !has_attempt || !has_time {
            return false;
        }
        // A connection that never opened did not reach the server, so the next attempt is not a repetition.
        failure.kind == FailureKind::Connect || call.shard.take_retry(call.gateway.instances(), now)
    }

    fn give_up(&self, failure: Failure) -> End {
        if self.is_resumption {
            return End::Aborted { reason: failure.kind.as_str() };
        }
        if self.verdict == Verdict::NotRun {
            return End::Own(OwnResponse::unavailable(failure.kind.as_str(), UNAVAILABLE_RETRY_MS));
        }
        End::Own(OwnResponse::bad_gateway(failure.kind.as_str(), self.verdict))
    }

    fn refuse(&self, reason: &'static str, retry_after_ms: u64) -> End {
        if self.is_resumption {
            return End::Aborted { reason };
        }
        if self.verdict == Verdict::NotRun {
            return End::Own(OwnResponse::unavailable(reason, retry_after_ms));
        }
        End::Own(OwnResponse::bad_gateway(reason, self.verdict))
    }
}

/// Takes over what the response says about the server's load.
fn note_load(call: &Call<'_>, server: &InstanceId, attempt: &Attempt) {
    let value = attempt.response.head.headers.get(call.gateway.settings.dialect.load);
    let Some(value) = value else {
        return;
    };
    let mut numbers = value.split(',').map(|part| part.trim().parse::<u32>());
    let (Some(Ok(running)), Some(Ok(waiting))) = (numbers.next(), numbers.next()) else {
        log::debug!("attempt: unreadable load {value:?} of {server}");
        return;
    };
    call.shard.note_total(server, running + waiting);
}
