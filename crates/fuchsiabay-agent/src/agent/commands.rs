//! What changes the state of the agent.

use std::sync::{Arc, atomic::Ordering};

use fuchsiabay_admission::{CancelOutcome, Command, DropReason, JobId, RefusalCause, Scheduler};
use fuchsiabay_base::{Timestamp, Verdict};
use fuchsiabay_claims::{ClaimError, DispatchResult};
use fuchsiabay_runtime::{monotonic_now, sleep_until, spawn};
use fuchsiabay_settings::BackendKind;
use fuchsiabay_wire::{AttemptError, RefusalReason, SubmitReply, SubmitRequest, Work};
use futures_lite::future;

use super::{Agent, Ending};
use crate::{
    ConfigView,
    attempt::{Attempt, Control},
    service_call,
    session::{ABANDONED, Session},
    stream,
};

/// When a caller that another instance may serve at once is told to try here again, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

type Refused = (RefusalReason, u64);

impl<C: ConfigView> Agent<C> {
    /// Admits or refuses an attempt. A refused attempt never starts.
    pub(crate) fn submit(self: &Arc<Self>, session: &Arc<Session>, req: SubmitRequest) -> SubmitReply {
        match self.admit(session, req) {
            Ok(()) => SubmitReply::Admitted { load: self.load() },
            Err((reason, retry_after_ms)) => {
                self.meters.refused(reason);
                SubmitReply::Refused { reason, retry_after_ms, load: self.load() }
            }
        }
    }

    fn admit(self: &Arc<Self>, session: &Arc<Session>, req: SubmitRequest) -> Result<(), Refused> {
        let now = monotonic_now();
        let deadline = now.plus_millis(req.deadline_in_ms);
        let job = JobId(self.next_job.fetch_add(1, Ordering::Relaxed));
        let attempt = Arc::new(Attempt::new(job, req, Arc::clone(session), now, deadline));
        self.check_service(&attempt)?;
        // A key that is known is answered from its claim before anything else can refuse the call: a caller that asks
        // again must not hear `not-run` while its first call may have run.
        let held = self.claims.holds_key(&attempt);
        if !held {
            self.check_new_work(now, &attempt)?;
        }
        if !session.enter(attempt.id(), job) {
            return Err((ABANDONED, RETRY_AFTER_MS));
        }
        self.attempts.insert(Arc::clone(&attempt));
        if held {
            self.claim(&attempt);
            return Ok(());
        }
        if let Err(refused) = self.enqueue(&attempt) {
            self.attempts.remove(job);
            session.leave(attempt.id());
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

    /// Hands an attempt to the scheduler.
    fn enqueue(self: &Arc<Self>, attempt: &Arc<Attempt>) -> Result<(), Refused> {
        let job = attempt.as_job(self.config.weight(&attempt.req.workspace));
        self.schedule(|scheduler, now| scheduler.submit(now, job))
            .map_err(|refusal| (refusal_reason(refusal.cause), refusal.retry_after_ms))?;
        // A cancellation that came before the scheduler knew the job.
        if attempt.is_cancelled() {
            self.cancel(attempt.job);
        }
        Ok(())
    }

    /// Queues a call that won its claim without holding a slot.
    pub(crate) fn enqueue_claimed(self: &Arc<Self>, attempt: &Arc<Attempt>) {
        if self.enqueue(attempt).is_err() {
            self.dispatch_finished(attempt.job, DispatchResult::NotStarted);
        }
    }

    /// Cancels an attempt. The verdict is `not-run` only when its start was made impossible.
    pub(crate) fn cancel(self: &Arc<Self>, job: JobId) -> Verdict {
        let Some(attempt) = self.attempts.find(job) else {
            return Verdict::MayHaveRun;
        };
        attempt.mark_cancelled();
        let outcome = self.schedule(|scheduler, now| scheduler.cancel(now, job));
        match outcome {
            CancelOutcome::Removed if attempt.is_claimed() => {
                self.dispatch_finished(job, DispatchResult::NotStarted);
                Verdict::NotRun
            }
            CancelOutcome::Removed => {
                self.end(job, Ending::not_run(AttemptError::Cancelled));
                Verdict::NotRun
            }
            CancelOutcome::Running | CancelOutcome::Unknown if attempt.claim_key().is_some() => {
                self.cancel_claim(job, ClaimError::Cancelled)
            }
            CancelOutcome::Running | CancelOutcome::Unknown => Verdict::MayHaveRun,
        }
    }

    /// Gives up the attempts of a closed connection. Calls that are not idempotent and were started run on, and their
    /// outcome is recorded for the next caller with the key.
    pub(crate) fn abandon(self: &Arc<Self>, jobs: &[JobId]) {
        for job in jobs {
            self.cancel(*job);
        }
    }

    /// Refuses new work for good, hands waiting work back, and lets running work end.
    pub fn drain(self: &Arc<Self>) {
        self.schedule(|scheduler, now| scheduler.drain(now));
    }

    /// Drains because the list says that this instance is leaving.
    pub(crate) fn leave(self: &Arc<Self>) {
        if !self.leaving.swap(true, Ordering::Relaxed) {
            log::info!("agent: the instance list says that this instance is leaving; draining");
            self.drain();
        }
    }

    /// Takes work, because the backend server answers.
    pub(crate) fn backend_up(self: &Arc<Self>) {
        self.schedule(|scheduler, now| scheduler.backend_up(now));
    }

    /// Attributes a crash of the backend server to everything that ran there.
    pub(crate) fn backend_crashed(self: &Arc<Self>) {
        let crash = self.schedule(|scheduler, _| scheduler.backend_crashed());
        self.meters.crashed(crash.suspects.len());
        for job in crash.handed_back {
            self.tell(job, Control::HandBack);
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
            attempt.tell(Control::Lost);
        }
    }

    /// Applies an event to the scheduler and carries out what it asks for.
    pub(crate) fn schedule<R>(self: &Arc<Self>, f: impl FnOnce(&mut Scheduler, Timestamp) -> R) -> R {
        let now = monotonic_now();
        let (result, commands) = {
            let mut scheduler = self.scheduler.lock();
            let result = f(&mut scheduler, now);
            let commands: Vec<_> = std::iter::from_fn(|| scheduler.next_command()).collect();
            self.set_timer(&scheduler);
            (result, commands)
        };
        for command in commands {
            self.carry_out(now, command);
        }
        result
    }

    /// Wakes the timer if the scheduler wants to be called earlier than it fires. Called under the scheduler's lock.
    fn set_timer(&self, scheduler: &Scheduler) {
        let Some(deadline) = scheduler.next_deadline() else {
            return;
        };
        if deadline.as_millis() < self.timer_at.load(Ordering::Relaxed) {
            self.timer.wake();
        }
    }

    /// Calls the scheduler when its deadlines come, for ever.
    pub(crate) async fn run_timer(self: Arc<Self>) {
        loop {
            let deadline = {
                let scheduler = self.scheduler.lock();
                let deadline = scheduler.next_deadline().unwrap_or(Timestamp::from_millis(u64::MAX));
                self.timer_at.store(deadline.as_millis(), Ordering::Relaxed);
                deadline
            };
            future::or(self.timer.wait(), sleep_until(deadline)).await;
            self.schedule(|scheduler, now| scheduler.tick(now));
        }
    }

    fn carry_out(self: &Arc<Self>, now: Timestamp, command: Command) {
        match command {
            Command::Start(job) => self.start_job(now, job),
            Command::Drop(job, reason) => self.drop_job(job, reason),
            Command::CancelRunning(job) => self.tell(job, Control::Cancel),
            Command::Pause(job) => self.tell(job, Control::Pause),
            Command::Resume(job) => self.tell(job, Control::Resume),
        }
    }

    fn start_job(self: &Arc<Self>, now: Timestamp, job: JobId) {
        let Some(attempt) = self.attempts.find(job) else {
            return;
        };
        let class = self.scheduler.lock().limits().class(attempt.req.estimated_tokens);
        self.meters.waited(class, now.millis_since(attempt.submitted_at));
        let agent = Arc::clone(self);
        spawn(async move {
            match (&attempt.req.work, attempt.claim_key()) {
                (Work::Generate { .. }, _) => stream::run(&agent, &attempt).await,
                (Work::Plain { .. }, None) => service_call::run(&agent, &attempt).await,
                (Work::Plain { .. }, Some(_)) if attempt.is_claimed() => {
                    service_call::run_claimed(&agent, &attempt).await;
                }
                (Work::Plain { .. }, Some(_)) if attempt.is_cancelled() => {
                    agent.finish(job, 0, Ending::not_run(AttemptError::Cancelled));
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
        self.end(job, Ending::not_run(error));
    }

    fn tell(&self, job: JobId, control: Control) {
        if let Some(attempt) = self.attempts.find(job) {
            attempt.tell(control);
        }
    }

    /// Frees the slot of an attempt that cost `tokens`, and sends its end.
    pub(crate) fn finish(self: &Arc<Self>, job: JobId, tokens: u32, ending: Ending) {
        self.schedule(|scheduler, now| scheduler.finish(now, job, tokens));
        self.end(job, ending);
    }

    /// Sends the end of an attempt, once.
    fn end(&self, job: JobId, ending: Ending) {
        let Some(attempt) = self.attempts.remove(job) else {
            return;
        };
        attempt.session.leave(attempt.id());
        self.meters.ended(ending.verdict);
        let end = ending.into_end(attempt.id());
        // A connection that closed has no reader for the end.
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
