//! The driver of one request: executes the commands of its state machine and feeds events back to it.

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
    agent_connection::Target,
    config_source::ConfigSource,
    dispatcher::Dispatcher,
    entry::{Entry, OpenRequestGuard},
    request::{Request, RequestWork},
};

/// The timeout for the reply to the submission of an idempotent request, in milliseconds. Agents admit or refuse at
/// once, so a later reply means a stalled instance. A non-idempotent request has until its deadline, because a timeout
/// could only turn its verdict into `may-have-run`.
const SUBMIT_TIMEOUT_MS: u64 = 1_000;
/// The timeout for a cancellation whose verdict goes into the response, in milliseconds.
const AWAITED_CANCEL_TIMEOUT_MS: u64 = 1_000;
/// The timeout for a cancellation that nothing waits for, in milliseconds.
const BACKGROUND_CANCEL_TIMEOUT_MS: u64 = 5_000;
/// The time that a server is skipped after a failure, in milliseconds. A refusal states its own time.
const SKIP_AFTER_FAILURE_MS: u64 = 1_000;
/// The minimum number of tokens of an attempt for its mean time between tokens to count. The mean of fewer tokens
/// reflects a momentary fluctuation rather than the speed of the server.
const MIN_TOKENS_FOR_INTER_TOKEN_TIME: u128 = 8;
/// Frames that have already arrived are combined into one write until their text reaches this many bytes.
const WRITE_BATCH_BYTES: usize = 4_096;

/// The time between tokens is sampled once per this many writes. Sampling, counting and reading the clock at every
/// write took some 5% of the processor time in a profile of the relay.
const WRITES_PER_SAMPLE: u32 = 8;
/// Tokens are added to the counter in batches of at least this many, because all threads share the counter.
const TOKEN_COUNT_BATCH: u32 = 32;

/// The next part of the response to the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Output {
    /// The transcript has new text from this byte offset.
    Text { from: usize },
    /// The response is complete.
    Finished,
    /// The request failed.
    Failed(Failure),
}

/// Drives one request to its end. Dropping it earlier cancels the attempt in flight.
pub(crate) struct RequestDriver<C: ConfigSource> {
    dispatcher: Dispatcher<C>,
    machine: RequestMachine<Target>,
    stream: Option<AttemptStream>,
    target: Option<Target>,
    /// A command that must not run before the unwritten text is written.
    deferred_command: Option<Command<Target>>,
    /// The byte offset in the transcript of the text that is not written yet.
    unwritten_from: Option<usize>,
    outcome: Option<Output>,
    deadline: Timer,
    received_at: Instant,
    /// The time of the write that starts the next sample of the time between tokens.
    sample_start: Option<Instant>,
    /// When the first tokens of the attempt arrived, and how many tokens the transcript had then.
    first_frame: Option<(Instant, u32)>,
    written_tokens: u32,
    uncounted_tokens: u32,
    writes: u32,
    may_have_run: bool,
    _open_guard: OpenRequestGuard<C>,
}

impl<C: ConfigSource> RequestDriver<C> {
    /// Starts a request. A `suspect` runs alone on its server.
    ///
    /// The driver is boxed, because it moves from the handler into the response body, and each move would add its size
    /// to the futures of the connection.
    pub(crate) fn start(entry: &Arc<Entry<C>>, request: Request, suspect: bool) -> Box<Self> {
        let now = monotonic_now();
        let received_at = Instant::now();
        let mut machine = RequestMachine::new(request.kind(), request.idempotent, suspect, request.deadline);
        entry.retry_budget.count_request(request.config.preset.retry_budget_percent);
        let deadline = Timer::after(Duration::from_millis(request.deadline.millis_since(now)));
        let mut dispatcher = Dispatcher::new(Arc::clone(entry), request);
        machine.handle(Event::Start, &mut dispatcher, now);
        Box::new(Self {
            dispatcher,
            machine,
            stream: None,
            target: None,
            deferred_command: None,
            unwritten_from: None,
            outcome: None,
            deadline,
            received_at,
            sample_start: None,
            first_frame: None,
            written_tokens: 0,
            uncounted_tokens: 0,
            writes: 0,
            may_have_run: false,
            _open_guard: entry.open_request(),
        })
    }

    pub(crate) fn request(&self) -> &Request {
        &self.dispatcher.request
    }

    /// Returns the text received so far.
    pub(crate) fn text(&self) -> &str {
        self.machine.transcript().text()
    }

    /// Returns the number of tokens received so far.
    pub(crate) fn token_count(&self) -> u32 {
        self.machine.transcript().position()
    }

    pub(crate) fn take_response(&mut self) -> Option<PlainResponse> {
        self.machine.take_response()
    }

    /// Waits for the next output. Nothing follows [`Output::Finished`] and [`Output::Failed`].
    pub(crate) async fn next_output(&mut self) -> Output {
        loop {
            self.run_commands().await;
            if let Some(from) = self.unwritten_from {
                if self.outcome.is_none() && self.deferred_command.is_none() && self.handle_ready_frame(from)
                {
                    continue;
                }
                self.unwritten_from = None;
                self.record_write();
                return Output::Text { from };
            }
            if let Some(outcome) = self.outcome.take() {
                return outcome;
            }
            self.wait_for_frame().await;
        }
    }

    /// Waits until the request ends. Returns the failure, if it failed.
    pub(crate) async fn run_to_end(&mut self) -> Result<(), Failure> {
        loop {
            match self.next_output().await {
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
        while let Some(command) = self.deferred_command.take().or_else(|| self.machine.next_command()) {
            let blocks = matches!(
                command,
                Command::Submit { .. } | Command::Wait { .. } | Command::Cancel { awaited: true, .. }
            );
            if blocks && self.unwritten_from.is_some() {
                self.deferred_command = Some(command);
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
                    cancel_in_background(attempt, target);
                }
                Command::Write { from } => self.unwritten_from = Some(self.unwritten_from.unwrap_or(from)),
                Command::ClearSuspicion => self.dispatcher.clear_suspicion(),
                Command::Finish => self.finish(Verdict::Ran, Output::Finished),
                Command::Fail(failure) => self.finish(failure.verdict, Output::Failed(failure)),
            }
        }
    }

    async fn submit(&mut self, attempt: AttemptId, target: Target, resume_from: u32, solo: bool) {
        let now = monotonic_now();
        let peer = target.handle().peer().clone();
        self.release_target();
        target.handle().attempt_opened();
        target.count_send(self.request().estimated_tokens);
        if let Some(prefix) = self.request().prefix {
            self.dispatcher.entry.router.record_prefix(prefix, target.id());
        }
        self.stream = Some(peer.open_attempt(attempt));
        self.target = Some(Arc::clone(&target));
        self.first_frame = None;
        let req = self.request().submission(attempt, solo, resume_from, self.text(), now);
        let timeout_ms = if self.request().idempotent { SUBMIT_TIMEOUT_MS } else { u64::MAX };
        let deadline = self.request().deadline.min(now.plus_millis(timeout_ms));
        let reply = peer.call::<SubmitRequest, SubmitReply>("submit", &req, deadline).await;
        self.handle_submit_reply(attempt, &target, reply);
    }

    fn handle_submit_reply(
        &mut self,
        attempt: AttemptId,
        target: &Target,
        reply: Result<SubmitReply, CallError>,
    ) {
        let now = monotonic_now();
        match reply {
            Ok(SubmitReply::Admitted { load }) => target.apply_report(load, now),
            Ok(SubmitReply::Refused { reason, retry_after_ms, load }) => {
                target.apply_report(load, now);
                let retry_at = now.plus_millis(retry_after_ms);
                if is_server_wide(reason) {
                    target.skip_until(retry_at);
                }
                self.handle(Event::Refused { attempt, reason, retry_at });
            }
            Err(CallError::TooLarge) => self.handle(Event::TooLarge { attempt }),
            Err(error) => {
                log::debug!("entry: submission to {} failed: {error}", target.id());
                target.skip_until(now.plus_millis(SKIP_AFTER_FAILURE_MS));
                self.handle_call_error(attempt, target, error.verdict(), now);
            }
        }
    }

    fn handle_call_error(&mut self, attempt: AttemptId, target: &Target, verdict: Verdict, now: Timestamp) {
        if verdict == Verdict::NotRun {
            return self.handle(Event::NotSent { attempt });
        }
        if target.handle().peer().is_closed() {
            // Frames may have arrived before the connection was lost. The stream yields them before it ends.
            return;
        }
        let event =
            if now >= self.request().deadline { Event::Deadline } else { Event::Unanswered { attempt } };
        self.handle(event);
    }

    async fn wait(&mut self, until: Timestamp) {
        let deadline = self.request().deadline;
        sleep_until(until.min(deadline)).await;
        let event = if until < deadline { Event::WaitElapsed } else { Event::Deadline };
        self.handle(event);
    }

    async fn cancel_and_wait(&mut self, attempt: AttemptId, target: &Target) {
        let deadline = monotonic_now().plus_millis(AWAITED_CANCEL_TIMEOUT_MS);
        let reply = target.handle().peer().call::<AttemptId, CancelReply>("cancel", &attempt, deadline).await;
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
            Some(Some(frame)) => self.handle_frame(frame),
            Some(None) => self.handle_stream_end(),
            None => self.handle(Event::Deadline),
        }
    }

    /// Handles one frame that has already arrived, unless the unwritten text has reached [`WRITE_BATCH_BYTES`]. Returns
    /// whether it handled one.
    fn handle_ready_frame(&mut self, from: usize) -> bool {
        if self.text().len() - from >= WRITE_BATCH_BYTES {
            return false;
        }
        let Some(frame) = self.stream.as_ref().and_then(AttemptStream::try_next) else {
            return false;
        };
        self.handle_frame(frame);
        true
    }

    fn handle_frame(&mut self, frame: AttemptEvent) {
        match frame {
            AttemptEvent::Tokens(tokens) => {
                self.handle(Event::Tokens(&tokens));
                if self.first_frame.is_none() {
                    self.first_frame = Some((Instant::now(), self.token_count()));
                }
            }
            AttemptEvent::End(end) => {
                match (&self.target, end.error) {
                    (Some(target), Some(AttemptError::BackendLost | AttemptError::Draining)) => {
                        target.skip_until(monotonic_now().plus_millis(SKIP_AFTER_FAILURE_MS));
                    }
                    (Some(target), None) => self.record_inter_token_time(target),
                    _ => {}
                }
                self.handle(Event::End(&end));
            }
        }
    }

    fn handle_stream_end(&mut self) {
        let (Some((attempt, _)), Some(target)) = (self.machine.in_flight(), &self.target) else {
            return self.handle(Event::Deadline);
        };
        // If the connection is open, the stream ended because this instance read too slowly. The attempt still runs.
        let event = if target.handle().peer().is_closed() {
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
        self.may_have_run = verdict != Verdict::NotRun;
        if matches!(outcome, Output::Failed(failure) if failure.truncated) {
            counters.count_truncated();
        }
        self.release_target();
        self.outcome = Some(outcome);
    }

    fn release_target(&mut self) {
        self.stream = None;
        if let Some(target) = self.target.take() {
            target.handle().attempt_closed();
        }
    }

    fn record_write(&mut self) {
        let new = self.machine.transcript().position() - self.written_tokens;
        self.written_tokens += new;
        self.uncounted_tokens += new;
        if self.uncounted_tokens >= TOKEN_COUNT_BATCH {
            self.count_tokens();
        }
        let counters = &self.dispatcher.entry.counters;
        if self.writes == 0 {
            counters.record_first_token(as_millis_f64(self.received_at.elapsed()));
        } else if self.writes.is_multiple_of(WRITES_PER_SAMPLE)
            && let Some(before) = self.sample_start.take()
        {
            counters.record_inter_token(as_millis_f64(before.elapsed()) / f64::from(new.max(1)));
        }
        self.writes += 1;
        if self.writes.is_multiple_of(WRITES_PER_SAMPLE) {
            self.sample_start = Some(Instant::now());
        }
    }

    fn count_tokens(&mut self) {
        let tokens = std::mem::take(&mut self.uncounted_tokens);
        self.dispatcher.entry.counters.count_tokens(tokens);
    }

    fn record_inter_token_time(&self, target: &Target) {
        let Some((from, position)) = self.first_frame else {
            return;
        };
        let tokens = u128::from(self.token_count() - position);
        if tokens >= MIN_TOKENS_FOR_INTER_TOKEN_TIME {
            target.record_inter_token_us((from.elapsed().as_micros() / tokens) as u64);
        }
    }

    /// Adjusts the charge to the workspace from the estimated tokens to the tokens used.
    fn settle(&self) {
        let request = self.request();
        if !matches!(request.work, RequestWork::Generate { .. }) {
            return;
        }
        let used = if self.may_have_run { request.prompt_tokens + self.token_count() } else { 0 };
        self.dispatcher.entry.workspace_limiter.settle(
            &request.workspace,
            request.estimated_tokens.into(),
            used.into(),
        );
    }
}

impl<C: ConfigSource> Drop for RequestDriver<C> {
    fn drop(&mut self) {
        if !self.machine.is_done() {
            self.dispatcher.entry.counters.count_caller_gone();
            self.handle(Event::CallerGone);
        }
        while let Some(command) = self.deferred_command.take().or_else(|| self.machine.next_command()) {
            match command {
                Command::Cancel { attempt, target, .. } => cancel_in_background(attempt, target),
                Command::Fail(Failure { kind: FailureKind::CallerGone, verdict, .. }) => {
                    self.may_have_run = verdict != Verdict::NotRun;
                    self.dispatcher.entry.counters.count_verdict(verdict);
                }
                _ => {}
            }
        }
        self.release_target();
        self.count_tokens();
        self.settle();
        let counters = &self.dispatcher.entry.counters;
        counters.count_retries(self.machine.attempts());
        counters.count_late_frames(self.machine.dropped_frames());
    }
}

/// Tells the agent to cancel the attempt, without waiting for the reply. If the cancellation arrives before the
/// submission, the agent remembers it.
fn cancel_in_background(attempt: AttemptId, target: Target) {
    target.handle().attempt_opened();
    let cancellation = async move {
        let deadline = monotonic_now().plus_millis(BACKGROUND_CANCEL_TIMEOUT_MS);
        let reply = target.handle().peer().call::<AttemptId, CancelReply>("cancel", &attempt, deadline).await;
        if let Err(error) = reply {
            log::debug!("entry: cancellation at {} failed: {error}", target.id());
        }
        target.handle().attempt_closed();
    };
    spawn(cancellation).detach();
}

/// Returns whether the server would refuse other requests for the same reason.
fn is_server_wide(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::QueueFull
            | RefusalReason::Draining
            | RefusalReason::BackendDown
            | RefusalReason::WrongService
            | RefusalReason::ConfigStale
    )
}

fn as_millis_f64(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
