//! Runs one generation and relays its tokens.

use std::{future::Future, pin::pin, sync::Arc};

use fuchsiabay_base::Verdict;
use fuchsiabay_runtime::{monotonic_now, sleep_until, spawn};
use fuchsiabay_wire::{AttemptError, Tokens, Work};
use futures_lite::{AsyncRead, future};

use crate::{
    Agent, ConfigView,
    agent::Ending,
    attempt::{Attempt, Control},
    backend::{BackendFailure, GenerateCall, StreamItem, TokenStream},
};

/// Tokens after which the scheduler hears of the progress. It needs no more for its estimates, and its lock is shared
/// by all streams.
const PROGRESS_TOKENS: u32 = 64;

/// How long a cancellation waits for an engine that has not answered the request yet, in milliseconds. A cancel order
/// that overtakes the request would cancel nothing.
const START_WAIT_MS: u64 = 2_000;

/// Runs the generation to its end.
pub(crate) async fn run<C: ConfigView>(agent: &Arc<Agent<C>>, attempt: &Arc<Attempt>) {
    let ending = match Generation::new(agent, attempt) {
        Some(generation) if !attempt.is_cancelled() => generation.run_to_end().await,
        _ => Ending::not_run(AttemptError::Cancelled),
    };
    let cost = if ending.verdict == Verdict::NotRun { 0 } else { attempt.cost(attempt.produced()) };
    agent.finish(attempt.job, cost, ending);
}

/// Either the attempt was stopped, or the other future was ready.
enum Event<T> {
    Stop(Control),
    Ready(T),
}

/// Why the engine no longer runs the generation.
enum RunEnd {
    Ended(Ending),
    Paused,
}

/// One generation and what was relayed of it.
struct Generation<'a, C> {
    agent: &'a Arc<Agent<C>>,
    attempt: &'a Arc<Attempt>,
    prompt: &'a str,
    max_tokens: u32,
    /// The position of the next token.
    position: u32,
    /// The text before that position, to resume with.
    text: String,
    /// How often the engine accepted it.
    runs: u32,
    /// The tokens that the scheduler has heard of.
    reported: u32,
}

impl<'a, C: ConfigView> Generation<'a, C> {
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
            reported: 0,
        })
    }

    /// Runs until the answer is complete or cannot be completed.
    ///
    /// A pause takes the stream off the engine and a later run resumes it, because a stream that is only paused at the
    /// engine keeps its slot there, and the work that it was paused for would wait inside the engine.
    async fn run_to_end(mut self) -> Ending {
        loop {
            match self.run_once().await {
                RunEnd::Ended(ending) => return ending,
                RunEnd::Paused => {
                    if let Some(ending) = self.wait_for_resume().await {
                        return ending;
                    }
                }
            }
        }
    }

    async fn run_once(&mut self) -> RunEnd {
        let mut id = self.agent.engine_id(self.attempt);
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
            match first(stopped(self.attempt), start.as_mut()).await {
                Event::Ready(Ok(body)) => body,
                Event::Ready(Err(failure)) => return RunEnd::Ended(self.failed(&failure)),
                Event::Stop(Control::Lost) => return self.halt(&id, Control::Lost).await,
                Event::Stop(control) => {
                    let patience = async {
                        sleep_until(monotonic_now().plus_millis(START_WAIT_MS)).await;
                        Err(BackendFailure::Lost("no answer in time".to_owned()))
                    };
                    let _body = future::or(start, patience).await;
                    self.runs += 1;
                    return self.halt(&id, control).await;
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
        let mut stop = pin!(stopped(attempt));
        loop {
            let item = match first(stop.as_mut(), stream.next()).await {
                Event::Ready(item) => item,
                Event::Stop(control) => return self.halt(id, control).await,
            };
            let batch = match item {
                StreamItem::Tokens(batch) => batch,
                StreamItem::Done { total } => {
                    // Off the path of the end, because only the next request profits from it.
                    spawn(stream.finish()).detach();
                    return RunEnd::Ended(Ending::generated(total));
                }
                StreamItem::Truncated => {
                    self.agent.probe.wake();
                    cancel_in_background(self.agent, id);
                    return self.broken(AttemptError::BackendLost);
                }
                StreamItem::Malformed(error) => {
                    log::warn!("agent: stream {id}: {error}");
                    cancel_in_background(self.agent, id);
                    return self.broken(AttemptError::BackendError);
                }
            };
            let (first_position, count) = (batch.first, batch.count);
            let text_len = self.text.len();
            self.text.push_str(&String::from_utf8_lossy(&batch.text));
            let tokens = Tokens { attempt: attempt.id(), first: first_position, count, text: batch.text };
            let stopped = match first(stop.as_mut(), attempt.session.peer.send_tokens(tokens)).await {
                Event::Ready(Ok(())) => None,
                // Nobody reads the stream any more.
                Event::Ready(Err(_)) => Some(Control::Cancel),
                Event::Stop(control) => Some(control),
            };
            if let Some(control) = stopped {
                // The frame was not sent, so a resumed stream produces it again.
                self.text.truncate(text_len);
                return self.halt(id, control).await;
            }
            self.position = stream.next_position();
            self.count(count);
        }
    }

    /// Counts tokens that were sent.
    fn count(&mut self, count: u16) {
        let produced = self.attempt.produced() + u32::from(count);
        self.attempt.set_produced(produced);
        self.agent.meters.frame(count);
        if produced - self.reported < PROGRESS_TOKENS {
            return;
        }
        self.reported = produced;
        let cost = self.attempt.cost(produced);
        self.agent.schedule(|scheduler, now| scheduler.progress(now, self.attempt.job, cost));
    }

    /// Takes the stream off the engine.
    async fn halt(&self, id: &str, control: Control) -> RunEnd {
        if control == Control::Lost {
            // An engine that only failed its probes may still run the stream.
            cancel_in_background(self.agent, id);
            return self.broken(AttemptError::BackendLost);
        }
        // The slot is free only when the engine has dropped the stream.
        self.agent.backend.cancel(id).await;
        match control {
            Control::Pause => RunEnd::Paused,
            Control::HandBack => self.broken(AttemptError::Draining),
            _ => self.broken(AttemptError::Cancelled),
        }
    }

    /// Waits for the end of a pause. Returns an ending if the attempt ends before.
    async fn wait_for_resume(&self) -> Option<Ending> {
        let error = loop {
            match self.attempt.orders.recv().await {
                Ok(Control::Resume) => return None,
                Ok(Control::Pause) => {}
                // The entry instance resumes it elsewhere, as after a drain, and suspects nothing.
                Ok(Control::HandBack) => break AttemptError::Draining,
                Ok(Control::Lost) => break AttemptError::BackendLost,
                Ok(Control::Cancel) | Err(_) => break AttemptError::Cancelled,
            }
        };
        Some(Ending::may_have_run(error, self.position))
    }

    fn broken(&self, error: AttemptError) -> RunEnd {
        RunEnd::Ended(Ending::may_have_run(error, self.position))
    }

    /// Maps the failure of a request that got no stream. A stream that cannot be resumed has run in part.
    fn failed(&self, failure: &BackendFailure) -> Ending {
        let ending = failed(self.agent, failure, self.position);
        if self.runs == 0 {
            return ending;
        }
        Ending { verdict: ending.verdict.max(Verdict::MayHaveRun), total_tokens: self.position, ..ending }
    }
}

/// The engine may still run a stream whose connection broke.
fn cancel_in_background<C: ConfigView>(agent: &Arc<Agent<C>>, id: &str) {
    let (backend, id) = (agent.backend.clone(), id.to_owned());
    spawn(async move { backend.cancel(&id).await }).detach();
}

/// Maps the failure of a request that got no stream.
pub(crate) fn failed<C: ConfigView>(agent: &Agent<C>, failure: &BackendFailure, position: u32) -> Ending {
    log::warn!("agent: {failure}");
    match failure {
        BackendFailure::NotSent => {
            agent.probe.wake();
            Ending::not_run(AttemptError::BackendLost)
        }
        BackendFailure::Lost(_) => {
            agent.probe.wake();
            Ending::may_have_run(AttemptError::BackendLost, position)
        }
        BackendFailure::Refused(_) => Ending::not_run(AttemptError::BackendError),
        BackendFailure::Failed(_) | BackendFailure::TooLarge => {
            Ending::may_have_run(AttemptError::BackendError, position)
        }
    }
}

/// Waits until the attempt is to leave the engine.
async fn stopped(attempt: &Attempt) -> Control {
    loop {
        match attempt.orders.recv().await {
            // The stream runs.
            Ok(Control::Resume) => {}
            Ok(control) => return control,
            Err(_) => future::pending().await,
        }
    }
}

/// Waits for a stop or for `other`. The stop goes first, so that a busy stream cannot hold it off.
async fn first<T>(stop: impl Future<Output = Control>, other: impl Future<Output = T>) -> Event<T> {
    future::or(async { Event::Stop(stop.await) }, async { Event::Ready(other.await) }).await
}
