//! Connects the claimer, which decides on at-most-once calls, to the log and to the attempts.

use std::sync::Arc;

use fuchsiabay_admission::JobId;
use fuchsiabay_base::{Timestamp, Verdict, WriterId};
use fuchsiabay_claims::{
    BatchId, CallId, CallReply, ClaimError, ClaimKey, ClaimRecord, Claimer, ClaimerStatus, Command,
    DispatchResult, LoggedRecord, Submission,
};
use fuchsiabay_runtime::{LogError, monotonic_now, sleep_until, spawn, unix_now};
use fuchsiabay_wire::{AttemptError, PlainResponse, RefusalReason};
use futures_lite::future;
use parking_lot::Mutex;
use serde_json::Value;

use crate::{
    Agent, AgentParams, ConfigView,
    agent::{AttemptOutcome, Notify},
    attempt::Attempt,
};

const CLAIMS_STREAM: &str = "claims";

/// The maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 1_000;

/// The timeout of a read or an append, in milliseconds. It bounds how long a call waits for its claim.
const LOG_TIMEOUT_MS: u64 = 2_000;

/// The interval between reads while no call waits for a record, in milliseconds. It bounds how long a duplicate of a
/// call that ran at another agent appears new. At-most-once execution does not depend on it, because the order of the
/// log decides which claim wins.
const IDLE_POLL_INTERVAL_MS: u64 = 250;

/// The interval between reads while a call waits for a record, in milliseconds.
const BUSY_POLL_INTERVAL_MS: u64 = 10;

/// The agent's claimer, and the notifications for the tasks that drive it.
pub(crate) struct Claims {
    claimer: Mutex<Claimer>,
    deadline_changed: Notify,
    read_request: Notify,
}

impl Claims {
    pub(crate) fn new(params: &AgentParams) -> Self {
        let identity = &params.identity;
        let writer = WriterId { instance: identity.instance.clone(), generation: identity.generation };
        Self {
            claimer: Mutex::new(Claimer::new(writer, params.claims)),
            deadline_changed: Notify::new(),
            read_request: Notify::new(),
        }
    }

    /// Returns whether the attempt's key is already claimed, so that the call is answered from the claim.
    pub(crate) fn holds_key(&self, attempt: &Attempt) -> bool {
        claim_key(attempt).is_some_and(|key| self.claimer.lock().ledger().holder(&key).is_some())
    }

    /// Checks whether a call that needs a claim may proceed, and returns the reason for a refusal otherwise.
    pub(crate) fn check(&self, attempt: &Attempt) -> Result<(), RefusalReason> {
        let Some(key) = claim_key(attempt) else {
            return Ok(());
        };
        let claimer = self.claimer.lock();
        if claimer.status().log_down {
            return Err(RefusalReason::LogUnavailable);
        }
        claimer.ledger().check_key(&key, unix_now()).map_err(|_| RefusalReason::KeyOutsideWindow)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.claimer.lock().is_idle()
    }

    pub(crate) fn status(&self) -> ClaimerStatus {
        self.claimer.lock().status()
    }
}

impl<C: ConfigView> Agent<C> {
    /// Starts to claim the key of the attempt. The claimer later dispatches the call or replies to it.
    pub(crate) fn claim(self: &Arc<Self>, attempt: &Arc<Attempt>) {
        let Some(key) = claim_key(attempt) else {
            return;
        };
        let now = unix_now();
        let submission = Submission {
            call: CallId(attempt.job.0),
            key,
            fingerprint: attempt.req.fingerprint,
            deadline: now.plus_millis(attempt.deadline.millis_since(monotonic_now())),
        };
        self.with_claimer(|claimer, now| claimer.submit(now, submission));
    }

    /// Abandons the claim of an attempt that has not been dispatched.
    pub(crate) fn cancel_claim(self: &Arc<Self>, job: JobId, error: ClaimError) -> Verdict {
        self.with_claimer(|claimer, now| claimer.cancel(now, CallId(job.0), error))
    }

    /// Reports the outcome of a dispatched call.
    pub(crate) fn dispatch_finished(self: &Arc<Self>, job: JobId, result: DispatchResult) {
        self.with_claimer(|claimer, now| claimer.dispatch_finished(now, CallId(job.0), result));
    }

    fn with_claimer<R>(self: &Arc<Self>, f: impl FnOnce(&mut Claimer, Timestamp) -> R) -> R {
        let (result, commands) = {
            let mut claimer = self.claims.claimer.lock();
            let result = f(&mut claimer, unix_now());
            (result, claimer.take_commands())
        };
        self.claims.deadline_changed.notify();
        for command in commands {
            match command {
                Command::Append { batch, records } => self.append(batch, records),
                Command::Dispatch { call } => self.dispatch(JobId(call.0)),
                Command::Reply { call, reply } => self.reply(JobId(call.0), reply),
            }
        }
        result
    }

    fn append(self: &Arc<Self>, batch: BatchId, records: Vec<ClaimRecord>) {
        let agent = Arc::clone(self);
        spawn(async move {
            let deadline = monotonic_now().plus_millis(LOG_TIMEOUT_MS);
            match agent.log.append(CLAIMS_STREAM, &records, deadline).await {
                Ok(_) => agent.with_claimer(|claimer, now| claimer.append_acknowledged(now, batch)),
                Err(error) => {
                    log::warn!("claims: append failed: {error}");
                    agent.with_claimer(|claimer, now| match error {
                        LogError::NoEffect(_) => claimer.append_refused(now, batch),
                        LogError::EffectUnknown(_) => claimer.append_unknown(now, batch),
                    });
                }
            }
            agent.claims.read_request.notify();
        })
        .detach();
    }

    fn dispatch(self: &Arc<Self>, job: JobId) {
        let Some(attempt) = self.attempts.find(job) else {
            return self.dispatch_finished(job, DispatchResult::NotStarted);
        };
        attempt.mark_claimed();
        if !self.holds_slot(job) {
            return self.enqueue_claimed(&attempt);
        }
        let agent = Arc::clone(self);
        spawn(async move { crate::service_call::run_claimed(&agent, &attempt).await }).detach();
    }

    fn reply(self: &Arc<Self>, job: JobId, reply: CallReply) {
        let cost = match (reply.verdict, self.attempts.find(job)) {
            (Verdict::NotRun, _) | (_, None) => 0,
            (_, Some(attempt)) => attempt.cost(0),
        };
        let outcome = match reply.result {
            Ok(response) => AttemptOutcome {
                verdict: reply.verdict,
                ..AttemptOutcome::responded(PlainResponse {
                    status: response.status,
                    content_type: response.content_type.clone(),
                    body: response.body.clone(),
                })
            },
            Err(error) => {
                AttemptOutcome { verdict: reply.verdict, ..AttemptOutcome::not_run(attempt_error(error)) }
            }
        };
        self.finish(job, cost, outcome);
    }

    /// Reads the claims from the log. Never returns.
    pub(crate) async fn read_claims(self: Arc<Self>) {
        loop {
            let full = self.read_page().await;
            if full {
                continue;
            }
            let wait_ms = if self.claims.claimer.lock().awaits_records() {
                BUSY_POLL_INTERVAL_MS
            } else {
                IDLE_POLL_INTERVAL_MS
            };
            let next = monotonic_now().plus_millis(wait_ms);
            future::or(self.claims.read_request.wait(), sleep_until(next)).await;
        }
    }

    /// Reads one page. Returns whether the page was full, so that more records may follow.
    async fn read_page(self: &Arc<Self>) -> bool {
        let from = self.claims.claimer.lock().ledger().next_offset().unwrap_or(0);
        let deadline = monotonic_now().plus_millis(LOG_TIMEOUT_MS);
        match self.log.read::<Value>(CLAIMS_STREAM, from, MAX_PAGE_RECORDS, deadline).await {
            Ok(page) => {
                let records: Vec<_> = page
                    .records
                    .iter()
                    .map(|record| LoggedRecord {
                        offset: record.offset,
                        at: record.at,
                        record: ClaimRecord::parse(&record.data),
                    })
                    .collect();
                self.with_claimer(|claimer, now| claimer.apply_page(now, page.first, &records));
                records.len() >= MAX_PAGE_RECORDS
            }
            Err(error) => {
                log::debug!("claims: read failed: {error}");
                self.with_claimer(|claimer, now| claimer.log_unavailable(now));
                false
            }
        }
    }

    /// Calls the claimer's `tick` at its deadlines. Never returns.
    pub(crate) async fn run_claim_timer(self: Arc<Self>) {
        loop {
            let next = self.claims.claimer.lock().next_tick();
            match next {
                Some(at) => {
                    let wait_ms = at.millis_since(unix_now());
                    let due = sleep_until(monotonic_now().plus_millis(wait_ms));
                    future::or(self.claims.deadline_changed.wait(), due).await;
                }
                None => self.claims.deadline_changed.wait().await,
            }
            if self.claims.claimer.lock().next_tick().is_some_and(|at| at <= unix_now()) {
                self.with_claimer(|claimer, now| claimer.tick(now));
            }
        }
    }
}

fn claim_key(attempt: &Attempt) -> Option<ClaimKey> {
    Some(ClaimKey { key: attempt.claim_key()?, workspace: attempt.req.workspace.clone() })
}

const fn attempt_error(error: ClaimError) -> AttemptError {
    match error {
        ClaimError::LogUnavailable => AttemptError::LogUnavailable,
        ClaimError::ClaimHeld => AttemptError::ClaimHeld,
        ClaimError::KeyReused => AttemptError::KeyReused,
        ClaimError::KeyOutsideWindow => AttemptError::KeyOutsideWindow,
        ClaimError::Cancelled => AttemptError::Cancelled,
        ClaimError::Draining => AttemptError::Draining,
        ClaimError::DeadlinePassed => AttemptError::DeadlinePassed,
        ClaimError::BackendLost => AttemptError::BackendLost,
    }
}
