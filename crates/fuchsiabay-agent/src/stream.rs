//! Runs one generation and relays its tokens.

use std::{future::Future, pin::pin, sync::Arc};

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
    let ending = generate(agent, attempt).await;
    let cost = match ending.verdict {
        fuchsiabay_base::Verdict::NotRun => 0,
        _ => attempt.cost(attempt.produced()),
    };
    agent.finish(attempt.job, cost, ending);
}

/// Either the attempt was stopped, or the other future was ready.
enum Event<T> {
    Stop(Control),
    Ready(T),
}

async fn generate<C: ConfigView>(agent: &Arc<Agent<C>>, attempt: &Arc<Attempt>) -> Ending {
    let Work::Generate { prompt, max_tokens, resume_from, resume_text } = &attempt.req.work else {
        return Ending::not_run(AttemptError::BackendError);
    };
    if attempt.is_cancelled() {
        return Ending::not_run(AttemptError::Cancelled);
    }
    let id = agent.engine_id(attempt);
    let call = GenerateCall {
        id: &id,
        prompt,
        max_tokens: *max_tokens,
        priority: attempt.req.priority as u8,
        resume_from: *resume_from,
        resume_text,
    };
    let mut stop = pin!(stopped(agent, attempt, &id));
    let mut start = pin!(agent.backend.generate(&call));
    let started = match first(stop.as_mut(), start.as_mut()).await {
        Event::Ready(started) => started,
        Event::Stop(Control::Lost) => return Ending::may_have_run(AttemptError::BackendLost, *resume_from),
        Event::Stop(_) => {
            let patience = async {
                sleep_until(monotonic_now().plus_millis(START_WAIT_MS)).await;
                Err(BackendFailure::Lost("no answer in time".to_owned()))
            };
            let _body = future::or(start, patience).await;
            agent.backend.control("cancel", &id).await;
            return Ending::may_have_run(AttemptError::Cancelled, *resume_from);
        }
    };
    let body = match started {
        Ok(body) => body,
        Err(failure) => return failed(agent, &failure, *resume_from),
    };
    relay(agent, attempt, &id, stop, TokenStream::new(body, *resume_from)).await
}

async fn relay<C: ConfigView, R: AsyncRead + Unpin + Send + 'static>(
    agent: &Arc<Agent<C>>,
    attempt: &Arc<Attempt>,
    id: &str,
    mut stop: std::pin::Pin<&mut impl Future<Output = Control>>,
    mut stream: TokenStream<R>,
) -> Ending {
    let mut reported = 0;
    loop {
        let position = stream.next_position();
        let item = match first(stop.as_mut(), stream.next()).await {
            Event::Ready(item) => item,
            Event::Stop(control) => return stop_stream(agent, id, control, position).await,
        };
        let batch = match item {
            StreamItem::Tokens(batch) => batch,
            StreamItem::Done { total } => {
                // Off the path of the end, because only the next request profits from it.
                spawn(stream.finish()).detach();
                return Ending::generated(total);
            }
            StreamItem::Truncated => {
                agent.probe.wake();
                cancel_in_background(agent, id);
                return Ending::may_have_run(AttemptError::BackendLost, position);
            }
            StreamItem::Malformed(error) => {
                log::warn!("agent: stream {id}: {error}");
                cancel_in_background(agent, id);
                return Ending::may_have_run(AttemptError::BackendError, position);
            }
        };
        let produced = attempt.produced() + u32::from(batch.count);
        attempt.set_produced(produced);
        agent.meters.frame(batch.count);
        let position = stream.next_position();
        let tokens =
            Tokens { attempt: attempt.id(), first: batch.first, count: batch.count, text: batch.text };
        match first(stop.as_mut(), attempt.session.peer.send_tokens(tokens)).await {
            Event::Ready(Ok(())) => {}
            // Nobody reads the stream any more.
            Event::Ready(Err(_)) => return stop_stream(agent, id, Control::Cancel, position).await,
            Event::Stop(control) => return stop_stream(agent, id, control, position).await,
        }
        if produced - reported >= PROGRESS_TOKENS {
            reported = produced;
            let cost = attempt.cost(produced);
            agent.schedule(|scheduler, now| scheduler.progress(now, attempt.job, cost));
        }
    }
}

async fn stop_stream<C: ConfigView>(
    agent: &Arc<Agent<C>>,
    id: &str,
    control: Control,
    position: u32,
) -> Ending {
    if control == Control::Lost {
        // An engine that only failed its probes may still run the stream.
        cancel_in_background(agent, id);
        return Ending::may_have_run(AttemptError::BackendLost, position);
    }
    // The slot is free only when the engine has dropped the stream.
    agent.backend.control("cancel", id).await;
    Ending::may_have_run(AttemptError::Cancelled, position)
}

/// The engine may still run a stream whose connection broke.
fn cancel_in_background<C: ConfigView>(agent: &Arc<Agent<C>>, id: &str) {
    let (backend, id) = (agent.backend.clone(), id.to_owned());
    spawn(async move { backend.control("cancel", &id).await }).detach();
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

/// Carries out pauses until the attempt is to stop.
async fn stopped<C: ConfigView>(agent: &Agent<C>, attempt: &Attempt, id: &str) -> Control {
    loop {
        match attempt.orders.recv().await {
            Ok(Control::Pause) => agent.backend.control("pause", id).await,
            Ok(Control::Resume) => agent.backend.control("resume", id).await,
            Ok(stop) => return stop,
            Err(_) => future::pending().await,
        }
    }
}

/// Waits for a stop or for `other`. The stop goes first, so that a busy stream cannot hold it off.
async fn first<T>(stop: impl Future<Output = Control>, other: impl Future<Output = T>) -> Event<T> {
    future::or(async { Event::Stop(stop.await) }, async { Event::Ready(other.await) }).await
}
