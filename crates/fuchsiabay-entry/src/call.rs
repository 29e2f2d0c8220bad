//! Runs one request: carries out the commands of its machine and reports what happens.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use fuchsiabay_base::{AttemptId, Timestamp, Verdict};
use fuchsiabay_routing::{Command, Event, Failure, FailureKind, RequestMachine};
use fuchsiabay_runtime::{AttemptEvent, AttemptStream, CallError, monotonic_now, sleep_until, spawn};
use fuchsiabay_wire::{AttemptError, CancelReply, PlainResponse, RefusalReason, SubmitReply, SubmitRequest};
use futures_lite::FutureExt;
use smol::Timer;

use crate::{
    agent_link::Target,
    config_source::ConfigSource,
    dispatcher::Dispatcher,
    entry::{Entry, OpenRequest},
    job::{Job, JobWork},
};

/// The time that an agent has to admit or refuse an attempt that may be sent elsewhere, in milliseconds. Agents answer at
/// once, so a later answer means a stalled instance. A call that runs at most once has until its deadline, because a
/// timeout could only turn its answer into `may-have-run`.
const SUBMIT_TIMEOUT_MS: u64 = 1_000;
/// The time that an agent has to answer a cancellation whose verdict the caller waits for, in milliseconds.
const CANCEL_WAIT_MS: u64 = 1_000;
/// The time that an agent has to answer a cancellation that nobody waits for, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 5_000;
/// A server is skipped for this many milliseconds after a failure, unless it said for how long.
const SKIP_AFTER_FAILURE_MS: u64 = 1_000;
/// Fewer tokens of an attempt do not tell the pace of its server.
const MIN_TOKENS_FOR_PACE: u128 = 8;
/// Text that is ready at the same time is written together up to this many bytes.
const WRITE_BYTES: usize = 4_096;

/// The time between tokens is sampled once in this many writes. Samples, counters and clock readings at every write took
/// some 5% of the processor time in a profile of the relay.
const WRITES_PER_SAMPLE: u32 = 8;
/// Tokens are added to the counter once there are this many, because the counter is shared by all threads.
const COUNTED_TOGETHER: u32 = 32;

/// What a request gives to its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Output {
    /// The transcript from the byte offset on is new.
    Text { from: usize },
    /// The answer is complete.
    Finished,
    /// The request failed.
    Failed(Failure),
}

/// A request in progress. Dropping it before its end cancels the attempt in flight.
pub(crate) struct Call<C: ConfigSource> {
    dispatcher: Dispatcher<C>,
    machine: RequestMachine<Target>,
    stream: Option<AttemptStream>,
    target: Option<Target>,
    // A command that waits for text to be written first.
    pending: Option<Command<Target>>,
    unwritten: Option<usize>,
    outcome: Option<Output>,
    deadline: Timer,
    received_at: Instant,
    // The write before the next sample of the time between tokens.
    sample_from: Option<Instant>,
    // When the first tokens of the attempt arrived and how many there were then.
    attempt_from: Option<(Instant, u32)>,
    written_tokens: u32,
    uncounted_tokens: u32,
    writes: u32,
    ran: bool,
    _open: OpenRequest<C>,
}

impl<C: ConfigSource> Call<C> {
    /// Starts a request. A `suspect` runs alone.
    ///
    /// The call is boxed, because it moves from the handler into the response body, and each move would add its size to
    /// the futures of the connection.
    pub(crate) fn start(entry: &Arc<Entry<C>>, job: Job, suspect: bool) -> Box<Self> {
        let now = monotonic_now();
        let received_at = Instant::now();
        let mut machine = RequestMachine::new(job.kind(), job.idempotent, suspect, job.deadline);
        entry.budget.count_request(job.config.preset.retry_budget_percent);
        let deadline = Timer::after(Duration::from_millis(job.deadline.millis_since(now)));
        let mut dispatcher = Dispatcher::new(Arc::clone(entry), job);
        machine.handle(Event::Start, &mut dispatcher, now);
        Box::new(Self {
            dispatcher,
            machine,
            stream: None,
            target: None,
            pending: None,
            unwritten: None,
            outcome: None,
            deadline,
            received_at,
            sample_from: None,
            attempt_from: None,
            written_tokens: 0,
            uncounted_tokens: 0,
            writes: 0,
            ran: false,
            _open: entry.open_request(),
        })
    }

    pub(crate) fn job(&self) -> &Job {
        &self.dispatcher.job
    }

    /// Returns the text that has arrived.
    pub(crate) fn text(&self) -> &str {
        self.machine.transcript().text()
    }

    /// Returns the number of tokens that have arrived.
    pub(crate) fn tokens(&self) -> u32 {
        self.machine.transcript().position()
    }

    pub(crate) fn take_response(&mut self) -> Option<PlainResponse> {
        self.machine.take_response()
    }

    /// Waits for the next output. Nothing follows [`Output::Finished`] and [`Output::Failed`].
    pub(crate) async fn next(&mut self) -> Output {
        loop {
            self.run_commands().await;
            if let Some(from) = self.unwritten {
                if self.outcome.is_none() && self.pending.is_none() && self.take_ready_frame(from) {
                    continue;
                }
                self.unwritten = None;
                self.observe_tokens();
                return Output::Text { from };
            }
            if let Some(outcome) = self.outcome.take() {
                return outcome;
            }
            self.wait_for_frame().await;
        }
    }

    /// Waits for the end and returns why the request failed, if it did.
    pub(crate) async fn complete(&mut self) -> Result<(), Failure> {
        loop {
            match self.next().await {
                Output::Text { .. } => {}
                Output::Finished => return Ok(()),
                Output::Failed(failure) => return Err(failure),
            }
        }
    }

    fn handle(&mut self, event: Event<'_>) {
        self.machine.handle(event, &mut self.dispatcher, monotonic_now());
    }

    async fn run_commands(&mut self) {
        while let Some(command) = self.pending.take().or_else(|| self.machine.next_command()) {
            let waits = matches!(
                command,
                Command::Submit { .. } | Command::Wait { .. } | Command::Cancel { awaited: true, .. }
            );
            if waits && self.unwritten.is_some() {
                self.pending = Some(command);
                return;
            }
            match command {
                Command::Submit { attempt, target, resume_from, solo } => {
                    self.submit(attempt, target, resume_from, solo).await;
                }
                Command::Wait { until } => self.wait(until).await,
                Command::Cancel { attempt, target, awaited: true } => {
                    self.cancel_and_wait(attempt, &target).await;
                }
                Command::Cancel { attempt, target, awaited: false } => {
                    cancel(attempt, target);
                }
                Command::Write { from } => self.unwritten = Some(self.unwritten.unwrap_or(from)),
                Command::ClearSuspicion => self.dispatcher.clear_suspicion(),
                Command::Finish => self.finish(Verdict::Ran, Output::Finished),
                Command::Fail(failure) => self.finish(failure.verdict, Output::Failed(failure)),
            }
        }
    }

    async fn submit(&mut self, attempt: AttemptId, target: Target, resume_from: u32, solo: bool) {
        let now = monotonic_now();
        let peer = target.link().peer().clone();
        self.leave_target();
        target.link().attempt_opened();
        target.count_send(self.job().estimated_tokens);
        if let Some(prefix) = self.job().prefix {
            self.dispatcher.entry.router.remember_prefix(prefix, target.id());
        }
        self.stream = Some(peer.open_attempt(attempt));
        self.target = Some(Arc::clone(&target));
        self.attempt_from = None;
        let req = self.job().submission(attempt, solo, resume_from, self.text(), now);
        let timeout_ms = if self.job().idempotent { SUBMIT_TIMEOUT_MS } else { u64::MAX };
        let deadline = self.job().deadline.min(now.plus_millis(timeout_ms));
        let reply = peer.call::<SubmitRequest, SubmitReply>("submit", &req, deadline).await;
        self.take_reply(attempt, &target, reply);
    }

    fn take_reply(&mut self, attempt: AttemptId, target: &Target, reply: Result<SubmitReply, CallError>) {
        let now = monotonic_now();
        match reply {
            Ok(SubmitReply::Admitted { load }) => target.apply_report(load, now),
            Ok(SubmitReply::Refused { reason, retry_after_ms, load }) => {
                target.apply_report(load, now);
                let retry_at = now.plus_millis(retry_after_ms);
                if server_is_unfit(reason) {
                    target.skip_until(retry_at);
                }
                self.handle(Event::Refused { attempt, reason, retry_at });
            }
            Err(CallError::TooLarge) => self.handle(Event::TooLarge { attempt }),
            Err(error) => {
                log::debug!("entry: submission to {} failed: {error}", target.id());
                target.skip_until(now.plus_millis(SKIP_AFTER_FAILURE_MS));
                self.take_call_error(attempt, target, error.verdict(), now);
            }
        }
    }

    fn take_call_error(&mut self, attempt: AttemptId, target: &Target, verdict: Verdict, now: Timestamp) {
        if verdict == Verdict::NotRun {
            return self.handle(Event::NotSent { attempt });
        }
        if target.link().peer().is_closed() {
            // Frames may have arrived before the connection was lost. The stream gives them first and then the loss.
            return;
        }
        let event = if now >= self.job().deadline { Event::Deadline } else { Event::Unanswered { attempt } };
        self.handle(event);
    }

    async fn wait(&mut self, until: Timestamp) {
        let deadline = self.job().deadline;
        sleep_until(until.min(deadline)).await;
        let event = if until < deadline { Event::Woken } else { Event::Deadline };
        self.handle(event);
    }

    async fn cancel_and_wait(&mut self, attempt: AttemptId, target: &Target) {
        let deadline = monotonic_now().plus_millis(CANCEL_WAIT_MS);
        let reply = target.link().peer().call::<AttemptId, CancelReply>("cancel", &attempt, deadline).await;
        let verdict = reply.map_or(Verdict::MayHaveRun, |reply| reply.verdict);
        self.handle(Event::Cancelled { attempt, verdict });
    }

    async fn wait_for_frame(&mut self) {
        let Some(stream) = &self.stream else {
            return self.handle(Event::Deadline);
        };
        let frame = async { Some(stream.next().await) };
        let deadline = async {
            (&mut self.deadline).await;
            None
        };
        match frame.or(deadline).await {
            Some(Some(frame)) => self.take_frame(frame),
            Some(None) => self.lose_stream(),
            None => self.handle(Event::Deadline),
        }
    }

    /// Takes a frame that has arrived already, unless enough text waits to be written.
    fn take_ready_frame(&mut self, from: usize) -> bool {
        if self.text().len() - from >= WRITE_BYTES {
            return false;
        }
        let Some(frame) = self.stream.as_ref().and_then(AttemptStream::try_next) else {
            return false;
        };
        self.take_frame(frame);
        true
    }

    fn take_frame(&mut self, frame: AttemptEvent) {
        match frame {
            AttemptEvent::Tokens(tokens) => {
                self.handle(Event::Tokens(&tokens));
                if self.attempt_from.is_none() {
                    self.attempt_from = Some((Instant::now(), self.tokens()));
                }
            }
            AttemptEvent::End(end) => {
                match (&self.target, end.error) {
                    (Some(target), Some(AttemptError::BackendLost | AttemptError::Draining)) => {
                        target.skip_until(monotonic_now().plus_millis(SKIP_AFTER_FAILURE_MS));
                    }
                    (Some(target), None) => self.observe_pace(target),
                    _ => {}
                }
                self.handle(Event::End(&end));
            }
        }
    }

    fn lose_stream(&mut self) {
        let (Some((attempt, _)), Some(target)) = (self.machine.in_flight(), &self.target) else {
            return self.handle(Event::Deadline);
        };
        // An open connection means that this side was too slow, and the attempt still runs.
        let event = if target.link().peer().is_closed() {
            target.skip_until(monotonic_now().plus_millis(SKIP_AFTER_FAILURE_MS));
            Event::ConnectionLost { attempt }
        } else {
            Event::Unanswered { attempt }
        };
        self.handle(event);
    }

    fn finish(&mut self, verdict: Verdict, outcome: Output) {
        self.count_tokens();
        let counters = &self.dispatcher.entry.counters;
        counters.count_verdict(verdict);
        self.ran = verdict != Verdict::NotRun;
        if matches!(outcome, Output::Failed(failure) if failure.truncated) {
            counters.count_truncated();
        }
        self.leave_target();
        self.outcome = Some(outcome);
    }

    fn leave_target(&mut self) {
        self.stream = None;
        if let Some(target) = self.target.take() {
            target.link().attempt_closed();
        }
    }

    fn observe_tokens(&mut self) {
        let new = self.machine.transcript().position() - self.written_tokens;
        self.written_tokens += new;
        self.uncounted_tokens += new;
        if self.uncounted_tokens >= COUNTED_TOGETHER {
            self.count_tokens();
        }
        let counters = &self.dispatcher.entry.counters;
        if self.writes == 0 {
            counters.observe_first_token(millis(self.received_at.elapsed()));
        } else if self.writes.is_multiple_of(WRITES_PER_SAMPLE)
            && let Some(before) = self.sample_from.take()
        {
            counters.observe_inter_token(millis(before.elapsed()) / f64::from(new.max(1)));
        }
        self.writes += 1;
        if self.writes.is_multiple_of(WRITES_PER_SAMPLE) {
            self.sample_from = Some(Instant::now());
        }
    }

    fn count_tokens(&mut self) {
        let tokens = std::mem::take(&mut self.uncounted_tokens);
        self.dispatcher.entry.counters.count_tokens(tokens);
    }

    fn observe_pace(&self, target: &Target) {
        let Some((from, position)) = self.attempt_from else {
            return;
        };
        let tokens = u128::from(self.tokens() - position);
        // A few tokens measure the moment and not the pace.
        if tokens >= MIN_TOKENS_FOR_PACE {
            target.observe_inter_token_us((from.elapsed().as_micros() / tokens) as u64);
        }
    }

    /// Charges the workspace for what was used instead of what was estimated.
    fn settle(&self) {
        let job = self.job();
        if !matches!(job.work, JobWork::Generate { .. }) {
            return;
        }
        let used = if self.ran { job.prompt_tokens + self.tokens() } else { 0 };
        self.dispatcher.entry.limiter.settle(&job.workspace, job.estimated_tokens.into(), used.into());
    }
}

impl<C: ConfigSource> Drop for Call<C> {
    fn drop(&mut self) {
        if !self.machine.is_done() {
            self.dispatcher.entry.counters.count_caller_gone();
            self.handle(Event::CallerGone);
        }
        while let Some(command) = self.pending.take().or_else(|| self.machine.next_command()) {
            match command {
                Command::Cancel { attempt, target, .. } => cancel(attempt, target),
                Command::Fail(Failure { kind: FailureKind::CallerGone, verdict, .. }) => {
                    self.ran = verdict != Verdict::NotRun;
                    self.dispatcher.entry.counters.count_verdict(verdict);
                }
                _ => {}
            }
        }
        self.leave_target();
        self.count_tokens();
        self.settle();
        let counters = &self.dispatcher.entry.counters;
        counters.count_attempts(self.machine.attempts());
        counters.count_late_frames(self.machine.dropped_frames());
    }
}

/// Orders the agent to cancel. An order that overtakes its submission is remembered by the agent.
fn cancel(attempt: AttemptId, target: Target) {
    target.link().attempt_opened();
    let order = async move {
        let deadline = monotonic_now().plus_millis(CANCEL_TIMEOUT_MS);
        let reply = target.link().peer().call::<AttemptId, CancelReply>("cancel", &attempt, deadline).await;
        if let Err(error) = reply {
            log::debug!("entry: cancellation at {} failed: {error}", target.id());
        }
        target.link().attempt_closed();
    };
    spawn(order).detach();
}

/// Returns whether the refusal holds for other requests, too.
fn server_is_unfit(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::QueueFull
            | RefusalReason::Draining
            | RefusalReason::BackendDown
            | RefusalReason::WrongService
            | RefusalReason::ConfigStale
    )
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
