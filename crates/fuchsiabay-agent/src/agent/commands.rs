//! Operations that change the agent's state.

use std::sync::{Arc, atomic::Ordering};

use fuchsiabay_admission::{CancelOutcome, Command, DropReason, JobId, RefusalCause, Scheduler};
use fuchsiabay_base::{Timestamp, Verdict};
use fuchsiabay_claims::{ClaimError, DispatchResult};
use fuchsiabay_runtime::{monotonic_now, sleep_until, spawn};
use fuchsiabay_settings::BackendKind;
use fuchsiabay_wire::{AttemptError, RefusalReason, SubmitReply, SubmitRequest, Work};
use futures_lite::future;

use super::{Agent, AttemptOutcome};
use crate::{
    ConfigView,
    attempt::{Attempt, ControlMessage},
    service_call,
    session::{NO_LONGER_AWAITED, Session},
    stream_relay,
};

/// The retry delay reported with a refusal when another instance may be able to serve the attempt immediately, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The reason for a refusal and the retry delay in milliseconds.
type Refused = (RefusalReason, u64);

impl<C: ConfigView> Agent<C> {
    /// Admits or refuses an attempt. A refused attempt never starts.
    pub(crate) fn submit(self: &Arc<Self>, session: &Arc<Session>, req: SubmitRequest) -> SubmitReply {
        match self.admit(session, req) {
            Ok(()) => SubmitReply::Admitted { load: self.load_report() },
            Err((reason, retry_after_ms)) => {
                self.metrics.count_refusal(reason);
                SubmitReply::Refused { reason, retry_after_ms, load: self.load_report() }
            }
        }
    }

    fn admit(self: &Arc<Self>, session: &Arc<Session>, req: SubmitRequest) -> Result<(), Refused> {
        let now = monotonic_now();
        let deadline = now.plus_millis(req.deadline_in_ms);
        let job = JobId(self.next_job_id.fetch_add(1, Ordering::Relaxed));
        let attempt = Arc::new(Attempt::new(job, req, Arc::clone(session), now, deadline));
        self.check_service(&attempt)?;
        // A call whose key is already claimed is answered from the claim before any other check can refuse it.
        // Otherwise a caller that retries could receive `not-run` although its first call may have run.
        let key_is_claimed = self.claims.holds_key(&attempt);
        if !key_is_claimed {
            self.check_new_work(now, &attempt)?;
        }
        if !session.register(attempt.id(), job) {
            return Err((NO_LONGER_AWAITED, RETRY_AFTER_MS));
        }
        self.attempts.insert(Arc::clone(&attempt));
        if key_is_claimed {
            self.claim(&attempt);
            return Ok(());
        }
        if let Err(refused) = self.enqueue(&attempt) {
            self.attempts.remove(job);
            session.unregister(attempt.id());
            return Err(refused);
        }
        Ok(())
    }

    fn check_service(&self, attempt: &Attempt) -> Result<(), Refused> {
        let fits = match attempt.req.work {
            Work::Generate { .. } => self.params.kind == BackendKind::Model,
            Work::Plain { .. } => self.params.kind == BackendKind::Plain,
        };
        if !fits || attempt.req.service != self.params.service {
            return Err((RefusalReason::WrongService, RETRY_AFTER_MS));
        }
        if !attempt.req.idempotent && attempt.req.key.is_none() {
            return Err((RefusalReason::KeyRequired, 0));
        }
        Ok(())
    }

    fn check_new_work(&self, now: Timestamp, attempt: &Attempt) -> Result<(), Refused> {
        if !self.config.is_fresh(now) {
            return Err((RefusalReason::ConfigStale, RETRY_AFTER_MS));
        }
        self.claims.check(attempt).map_err(|reason| (reason, RETRY_AFTER_MS))
    }

    /// Submits an attempt to the scheduler.
    fn enqueue(self: &Arc<Self>, attempt: &Arc<Attempt>) -> Result<(), Refused> {
        let job = attempt.as_job(self.config.weight(&attempt.req.workspace));
        self.with_scheduler(|scheduler, now| scheduler.submit(now, job))
            .map_err(|refusal| (refusal_reason(refusal.cause), refusal.retry_after_ms))?;
        // The cancellation may have arrived before the scheduler knew the job.
        if attempt.is_cancelled() {
            self.cancel(attempt.job);
        }
        Ok(())
    }

    /// Queues a call that won its claim but does not hold a slot.
    pub(crate) fn enqueue_claimed(self: &Arc<Self>, attempt: &Arc<Attempt>) {
        if self.enqueue(attempt).is_err() {
            self.dispatch_finished(attempt.job, DispatchResult::NotStarted);
        }
    }

    /// Cancels an attempt. The verdict is `not-run` only if the attempt can no longer start.
    pub(crate) fn cancel(self: &Arc<Self>, job: JobId) -> Verdict {
        let Some(attempt) = self.attempts.find(job) else {
            return Verdict::MayHaveRun;
        };
        attempt.mark_cancelled();
        let outcome = self.with_scheduler(|scheduler, now| scheduler.cancel(now, job));
        match outcome {
            CancelOutcome::Removed if attempt.is_claimed() => {
                self.dispatch_finished(job, DispatchResult::NotStarted);
                Verdict::NotRun
            }
            CancelOutcome::Removed => {
                self.send_end(job, AttemptOutcome::not_run(AttemptError::Cancelled));
                Verdict::NotRun
            }
            CancelOutcome::Running | CancelOutcome::Unknown if attempt.claim_key().is_some() => {
                self.cancel_claim(job, ClaimError::Cancelled)
            }
            CancelOutcome::Running | CancelOutcome::Unknown => Verdict::MayHaveRun,
        }
    }

    /// Cancels the attempts of a closed connection. Non-idempotent calls that have started continue to run, and their
    /// outcome is recorded for the next call with the same key.
    pub(crate) fn cancel_all(self: &Arc<Self>, jobs: &[JobId]) {
        for job in jobs {
            self.cancel(*job);
        }
    }

    /// Refuses new work permanently, hands waiting work back, and lets running work finish.
    pub fn drain(self: &Arc<Self>) {
        self.with_scheduler(|scheduler, now| scheduler.drain(now));
    }

    /// Starts a drain because the instance list marks this instance as leaving.
    pub(crate) fn start_leaving(self: &Arc<Self>) {
        if !self.leaving.swap(true, Ordering::Relaxed) {
            log::info!("agent: the instance list marks this instance as leaving; draining");
            self.drain();
        }
    }

    /// Lets the scheduler admit work, because the backend server passed a health probe.
    pub(crate) fn backend_up(self: &Arc<Self>) {
        self.with_scheduler(|scheduler, now| scheduler.backend_up(now));
    }

    /// Handles a crash of the backend server, which makes every request that was running there a suspect.
    pub(crate) fn backend_crashed(self: &Arc<Self>) {
        let crash = self.with_scheduler(|scheduler, _| scheduler.backend_crashed());
        self.metrics.count_crash(crash.suspects.len());
        for job in crash.handed_back {
            self.send_control(job, ControlMessage::HandBack);
        }
        for suspect in crash.suspects {
            log::warn!(
                "agent: request {} was in flight when the backend server went down",
                suspect.fingerprint
            );
            let Some(attempt) = self.attempts.find(suspect.id) else {
                continue;
            };
            if attempt.claim_key().is_some() && !attempt.is_claimed() {
                self.cancel_claim(suspect.id, ClaimError::BackendLost);
            }
            attempt.send_control(ControlMessage::BackendCrashed);
        }
    }

    /// Applies an event to the scheduler and executes the resulting commands.
    pub(crate) fn with_scheduler<R>(self: &Arc<Self>, f: impl FnOnce(&mut Scheduler, Timestamp) -> R) -> R {
        let now = monotonic_now();
        let (result, commands) = {
            let mut scheduler = self.scheduler.lock();
            let result = f(&mut scheduler, now);
            let commands: Vec<_> = std::iter::from_fn(|| scheduler.next_command()).collect();
            self.set_timer(&scheduler);
            (result, commands)
        };
        for command in commands {
            self.execute(now, command);
        }
        result
    }

    /// Wakes the timer if the scheduler's next deadline is earlier than the timer's. Must be called under the
    /// scheduler's lock.
    fn set_timer(&self, scheduler: &Scheduler) {
        let Some(deadline) = scheduler.next_deadline() else {
            return;
        };
        if deadline.as_millis() < self.timer_fires_at.load(Ordering::Relaxed) {
            self.timer.notify();
        }
    }

    /// Calls the scheduler's `tick` at its deadlines. Never returns.
    pub(crate) async fn run_timer(self: Arc<Self>) {
        loop {
            let deadline = {
                let scheduler = self.scheduler.lock();
                let deadline = scheduler.next_deadline().unwrap_or(Timestamp::from_millis(u64::MAX));
                self.timer_fires_at.store(deadline.as_millis(), Ordering::Relaxed);
                deadline
            };
            future::or(self.timer.wait(), sleep_until(deadline)).await;
            self.with_scheduler(|scheduler, now| scheduler.tick(now));
        }
    }

    fn execute(self: &Arc<Self>, now: Timestamp, command: Command) {
        match command {
            Command::Start(job) => self.start_job(now, job),
            Command::Drop(job, reason) => self.drop_job(job, reason),
            Command::CancelRunning(job) => self.send_control(job, ControlMessage::Cancel),
            Command::Pause(job) => self.send_control(job, ControlMessage::Pause),
            Command::Resume(job) => self.send_control(job, ControlMessage::Resume),
        }
    }

    fn start_job(self: &Arc<Self>, now: Timestamp, job: JobId) {
        let Some(attempt) = self.attempts.find(job) else {
            return;
        };
        let class = self.scheduler.lock().limits().class(attempt.req.estimated_tokens);
        self.metrics.record_wait(class, now.millis_since(attempt.submitted_at));
        let agent = Arc::clone(self);
        spawn(async move {
            match (&attempt.req.work, attempt.claim_key()) {
                (Work::Generate { .. }, _) => stream_relay::run(&agent, &attempt).await,
                (Work::Plain { .. }, None) => service_call::run(&agent, &attempt).await,
                (Work::Plain { .. }, Some(_)) if attempt.is_claimed() => {
                    service_call::run_claimed(&agent, &attempt).await;
                }
                (Work::Plain { .. }, Some(_)) if attempt.is_cancelled() => {
                    agent.finish(job, 0, AttemptOutcome::not_run(AttemptError::Cancelled));
                }
                (Work::Plain { .. }, Some(_)) => agent.claim(&attempt),
            }
        })
        .detach();
    }

    fn drop_job(self: &Arc<Self>, job: JobId, reason: DropReason) {
        if self.attempts.find(job).is_some_and(|attempt| attempt.is_claimed()) {
            return self.dispatch_finished(job, DispatchResult::NotStarted);
        }
        let error = match reason {
            DropReason::DeadlinePassed => AttemptError::DeadlinePassed,
            DropReason::Draining => AttemptError::Draining,
            DropReason::BackendDown => AttemptError::BackendLost,
        };
        self.send_end(job, AttemptOutcome::not_run(error));
    }

    fn send_control(&self, job: JobId, control: ControlMessage) {
        if let Some(attempt) = self.attempts.find(job) {
            attempt.send_control(control);
        }
    }

    /// Frees the slot of an attempt that cost `tokens` and sends its `End` frame.
    pub(crate) fn finish(self: &Arc<Self>, job: JobId, tokens: u32, outcome: AttemptOutcome) {
        self.with_scheduler(|scheduler, now| scheduler.finish(now, job, tokens));
        self.send_end(job, outcome);
    }

    /// Sends the `End` frame of an attempt, unless it has already been sent.
    fn send_end(&self, job: JobId, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.remove(job) else {
            return;
        };
        attempt.session.unregister(attempt.id());
        self.metrics.count_end(outcome.verdict);
        let end = outcome.into_end(attempt.id());
        // If the connection is closed, nobody waits for the frame.
        spawn(async move { _ = attempt.session.peer.send_end(end).await }).detach();
    }
}

const fn refusal_reason(cause: RefusalCause) -> RefusalReason {
    match cause {
        RefusalCause::QueueFull => RefusalReason::QueueFull,
        RefusalCause::WorkspaceLimit => RefusalReason::WorkspaceLimit,
        RefusalCause::WouldMissDeadline => RefusalReason::WouldMissDeadline,
        RefusalCause::Draining => RefusalReason::Draining,
        RefusalCause::BackendDown => RefusalReason::BackendDown,
    }
}
