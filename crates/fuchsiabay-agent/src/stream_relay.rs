//! Runs a streamed generation on the engine and relays its tokens to the entry instance.

use std::{future::Future, pin::pin, sync::Arc};

use fuchsiabay_base::Verdict;
use fuchsiabay_runtime::{monotonic_now, sleep_until, spawn};
use fuchsiabay_wire::{AttemptError, Tokens, Work};
use futures_lite::{AsyncRead, future};

use crate::{
    Agent, ConfigView,
    agent::AttemptOutcome,
    attempt::{Attempt, ControlMessage},
    backend::{BackendFailure, GenerateCall, StreamItem, TokenStream},
};

/// The number of tokens between progress reports to the scheduler. Its estimates need no finer resolution, and all
/// streams share its lock.
const PROGRESS_INTERVAL_TOKENS: u32 = 64;

/// How long a cancellation waits for the engine to respond to the start request, in milliseconds. A cancel call that
/// overtakes the start request would have no effect.
const START_TIMEOUT_MS: u64 = 2_000;

/// Runs the stream of an attempt and sends the outcome.
pub(crate) async fn run<C: ConfigView>(agent: &Arc<Agent<C>>, attempt: &Arc<Attempt>) {
    let outcome = match StreamRelay::new(agent, attempt) {
        Some(relay) if !attempt.is_cancelled() => relay.run_to_end().await,
        _ => AttemptOutcome::not_run(AttemptError::Cancelled),
    };
    let cost = if outcome.verdict == Verdict::NotRun { 0 } else { attempt.cost(attempt.produced()) };
    agent.finish(attempt.job, cost, outcome);
}

/// The result of [`stop_or`]: a message that stops the stream, or the output of the other future.
enum StopOr<T> {
    Stop(ControlMessage),
    Ready(T),
}

/// Why the engine no longer runs the stream.
enum RunEnd {
    Ended(AttemptOutcome),
    Paused,
}

/// A stream and the part of it that has been relayed.
struct StreamRelay<'a, C> {
    agent: &'a Arc<Agent<C>>,
    attempt: &'a Arc<Attempt>,
    prompt: &'a str,
    max_tokens: u32,
    /// The position of the next token.
    position: u32,
    /// The text before `position`, which the engine needs to resume the stream.
    text: String,
    /// How many runs of the stream the engine has, or may have, started.
    runs: u32,
    /// The number of tokens reported to the scheduler so far.
    reported_tokens: u32,
}

impl<'a, C: ConfigView> StreamRelay<'a, C> {
    fn new(agent: &'a Arc<Agent<C>>, attempt: &'a Arc<Attempt>) -> Option<Self> {
        let Work::Generate { prompt, max_tokens, resume_from, resume_text } = &attempt.req.work else {
            return None;
        };
        Some(Self {
            agent,
            attempt,
            prompt,
            max_tokens: *max_tokens,
            position: *resume_from,
            text: resume_text.clone(),
            runs: 0,
            reported_tokens: 0,
        })
    }

    /// Runs the stream until it is complete or cannot be completed.
    ///
    /// A pause cancels the stream at the engine, and a later run resumes it. A stream that is merely paused at the
    /// engine would keep its slot there, and the work that it was paused for would wait inside the engine.
    async fn run_to_end(mut self) -> AttemptOutcome {
        loop {
            match self.run_once().await {
                RunEnd::Ended(outcome) => return outcome,
                RunEnd::Paused => {
                    if let Some(outcome) = self.wait_for_resume().await {
                        return outcome;
                    }
                }
            }
        }
    }

    async fn run_once(&mut self) -> RunEnd {
        let mut id = self.agent.engine_stream_id(self.attempt);
        if self.runs > 0 {
            id = format!("{id}-{}", self.runs);
        }
        let body = {
            let call = GenerateCall {
                id: &id,
                prompt: self.prompt,
                max_tokens: self.max_tokens,
                priority: self.attempt.req.priority as u8,
                resume_from: self.position,
                resume_text: &self.text,
            };
            let mut start = pin!(self.agent.backend.generate(&call));
            match stop_or(wait_for_stop(self.attempt), start.as_mut()).await {
                StopOr::Ready(Ok(body)) => body,
                StopOr::Ready(Err(failure)) => return RunEnd::Ended(self.failure_outcome(&failure)),
                StopOr::Stop(ControlMessage::BackendCrashed) => {
                    return self.cancel_at_engine(&id, ControlMessage::BackendCrashed).await;
                }
                StopOr::Stop(control) => {
                    let timeout = async {
                        sleep_until(monotonic_now().plus_millis(START_TIMEOUT_MS)).await;
                        Err(BackendFailure::NoValidResponse("timed out".to_owned()))
                    };
                    let _body = future::or(start, timeout).await;
                    self.runs += 1;
                    return self.cancel_at_engine(&id, control).await;
                }
            }
        };
        self.runs += 1;
        self.relay(&id, TokenStream::new(body, self.position)).await
    }

    async fn relay<R>(&mut self, id: &str, mut stream: TokenStream<R>) -> RunEnd
    where
        R: AsyncRead + Unpin + Send + 'static,
    {
        let attempt = self.attempt;
        let mut stop = pin!(wait_for_stop(attempt));
        loop {
            let item = match stop_or(stop.as_mut(), stream.next()).await {
                StopOr::Ready(item) => item,
                StopOr::Stop(control) => return self.cancel_at_engine(id, control).await,
            };
            let batch = match item {
                StreamItem::Tokens(batch) => batch,
                StreamItem::Done { total } => {
                    // In the background, because the `End` frame need not wait until the connection is reusable.
                    spawn(stream.read_to_end()).detach();
                    return RunEnd::Ended(AttemptOutcome::generated(total));
                }
                StreamItem::Truncated => {
                    self.agent.probe_request.notify();
                    cancel_in_background(self.agent, id);
                    return self.interrupted(AttemptError::BackendLost);
                }
                StreamItem::Malformed(error) => {
                    log::warn!("agent: stream {id}: {error}");
                    cancel_in_background(self.agent, id);
                    return self.interrupted(AttemptError::BackendError);
                }
            };
            let (first_position, count) = (batch.first, batch.count);
            let text_len = self.text.len();
            self.text.push_str(&String::from_utf8_lossy(&batch.text));
            let tokens = Tokens { attempt: attempt.id(), first: first_position, count, text: batch.text };
            let stopped = match stop_or(stop.as_mut(), attempt.session.peer.send_tokens(tokens)).await {
                StopOr::Ready(Ok(())) => None,
                // The connection to the entry instance is closed.
                StopOr::Ready(Err(_)) => Some(ControlMessage::Cancel),
                StopOr::Stop(control) => Some(control),
            };
            if let Some(control) = stopped {
                // The frame was not sent, so a resumed stream must produce its tokens again.
                self.text.truncate(text_len);
                return self.cancel_at_engine(id, control).await;
            }
            self.position = stream.next_position();
            self.record_sent(count);
        }
    }

    /// Counts tokens sent to the entry instance, and reports the progress to the scheduler at intervals.
    fn record_sent(&mut self, count: u16) {
        let produced = self.attempt.produced() + u32::from(count);
        self.attempt.set_produced(produced);
        self.agent.metrics.count_frame(count);
        if produced - self.reported_tokens < PROGRESS_INTERVAL_TOKENS {
            return;
        }
        self.reported_tokens = produced;
        let cost = self.attempt.cost(produced);
        self.agent.with_scheduler(|scheduler, now| scheduler.progress(now, self.attempt.job, cost));
    }

    /// Cancels the stream at the engine and returns how the run ended.
    async fn cancel_at_engine(&self, id: &str, control: ControlMessage) -> RunEnd {
        if control == ControlMessage::BackendCrashed {
            // An engine that failed its health probes without crashing may still run the stream.
            cancel_in_background(self.agent, id);
            return self.interrupted(AttemptError::BackendLost);
        }
        // Waits for the cancellation, because the slot is free only once the engine has dropped the stream.
        self.agent.backend.cancel(id).await;
        match control {
            ControlMessage::Pause => RunEnd::Paused,
            ControlMessage::HandBack => self.interrupted(AttemptError::Draining),
            _ => self.interrupted(AttemptError::Cancelled),
        }
    }

    /// Waits until a paused stream may resume. Returns an outcome if the attempt ends first.
    async fn wait_for_resume(&self) -> Option<AttemptOutcome> {
        let error = loop {
            match self.attempt.control_rx.recv().await {
                Ok(ControlMessage::Resume) => return None,
                Ok(ControlMessage::Pause) => {}
                // Reported as after a drain, so that the entry instance resumes the stream elsewhere and does not
                // suspect it of the crash.
                Ok(ControlMessage::HandBack) => break AttemptError::Draining,
                Ok(ControlMessage::BackendCrashed) => break AttemptError::BackendLost,
                Ok(ControlMessage::Cancel) | Err(_) => break AttemptError::Cancelled,
            }
        };
        Some(AttemptOutcome::may_have_run(error, self.position))
    }

    fn interrupted(&self, error: AttemptError) -> RunEnd {
        RunEnd::Ended(AttemptOutcome::may_have_run(error, self.position))
    }

    /// Returns the outcome of a start or resume request that failed. A stream that cannot be resumed has run in part.
    fn failure_outcome(&self, failure: &BackendFailure) -> AttemptOutcome {
        let outcome = failure_outcome(self.agent, failure, self.position);
        if self.runs == 0 {
            return outcome;
        }
        AttemptOutcome {
            verdict: outcome.verdict.max(Verdict::MayHaveRun),
            total_tokens: self.position,
            ..outcome
        }
    }
}

/// Cancels a stream without waiting, because the engine may still run a stream whose connection was lost.
fn cancel_in_background<C: ConfigView>(agent: &Arc<Agent<C>>, id: &str) {
    let (backend, id) = (agent.backend.clone(), id.to_owned());
    spawn(async move { backend.cancel(&id).await }).detach();
}

/// Logs the failure of a request to the backend server and returns the attempt's outcome.
pub(crate) fn failure_outcome<C: ConfigView>(
    agent: &Agent<C>,
    failure: &BackendFailure,
    position: u32,
) -> AttemptOutcome {
    log::warn!("agent: request to the backend server failed: {failure}");
    match failure {
        BackendFailure::NotSent => {
            agent.probe_request.notify();
            AttemptOutcome::not_run(AttemptError::BackendLost)
        }
        BackendFailure::NoValidResponse(_) => {
            agent.probe_request.notify();
            AttemptOutcome::may_have_run(AttemptError::BackendLost, position)
        }
        BackendFailure::Refused(_) => AttemptOutcome::not_run(AttemptError::BackendError),
        BackendFailure::Failed(_) | BackendFailure::TooLarge => {
            AttemptOutcome::may_have_run(AttemptError::BackendError, position)
        }
    }
}

/// Waits for a control message that stops the running stream.
async fn wait_for_stop(attempt: &Attempt) -> ControlMessage {
    loop {
        match attempt.control_rx.recv().await {
            // The stream is already running.
            Ok(ControlMessage::Resume) => {}
            Ok(control) => return control,
            Err(_) => future::pending().await,
        }
    }
}

/// Waits for a stop message or for `other`. The stop is polled first, so that a busy stream cannot delay it.
async fn stop_or<T>(stop: impl Future<Output = ControlMessage>, other: impl Future<Output = T>) -> StopOr<T> {
    future::or(async { StopOr::Stop(stop.await) }, async { StopOr::Ready(other.await) }).await
}
