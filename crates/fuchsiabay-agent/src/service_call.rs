//! Runs one call of a plain service.

use std::sync::Arc;

use fuchsiabay_claims::{DispatchResult, Response};
use fuchsiabay_runtime::sleep_until;
use fuchsiabay_wire::{AttemptError, Work};
use futures_lite::future;

use crate::{
    Agent, ConfigView,
    agent::Ending,
    attempt::{Attempt, Control},
    backend::{BackendFailure, PlainCall},
    stream,
};

/// How long the answer of a call that runs at most once is awaited beyond its deadline, in milliseconds. The caller
/// is gone by then, but its next try is answered from the outcome.
const OUTCOME_WAIT_MS: u64 = 60_000;

/// The status recorded for an answer that is too large to be kept.
const TOO_LARGE_STATUS: u16 = 502;

/// Runs an idempotent call. Its cancellation ends only the wait, because plain services offer no cancel.
pub(crate) async fn run<C: ConfigView>(agent: &Arc<Agent<C>>, attempt: &Arc<Attempt>) {
    let ending = call_until_stopped(agent, attempt).await;
    let cost = if ending.verdict == fuchsiabay_base::Verdict::NotRun { 0 } else { attempt.cost(0) };
    agent.finish(attempt.job, cost, ending);
}

async fn call_until_stopped<C: ConfigView>(agent: &Arc<Agent<C>>, attempt: &Attempt) -> Ending {
    if attempt.is_cancelled() {
        return Ending::not_run(AttemptError::Cancelled);
    }
    let call = async {
        match call(agent, attempt, false).await {
            Ok(response) => Ending::responded(response),
            Err(failure) => stream::failed(agent, &failure, 0),
        }
    };
    let stopped = async {
        match attempt.orders.recv().await {
            Ok(Control::Lost) => Ending::may_have_run(AttemptError::BackendLost, 0),
            _ => Ending::may_have_run(AttemptError::Cancelled, 0),
        }
    };
    let late = async {
        sleep_until(attempt.deadline).await;
        Ending::may_have_run(AttemptError::DeadlinePassed, 0)
    };
    future::or(stopped, future::or(call, late)).await
}

/// Runs a call that won its claim. Neither a cancellation nor a lost connection to the entry instance ends it, because
/// its outcome is to be recorded.
pub(crate) async fn run_claimed<C: ConfigView>(agent: &Arc<Agent<C>>, attempt: &Arc<Attempt>) {
    let late = async {
        sleep_until(attempt.deadline.plus_millis(OUTCOME_WAIT_MS)).await;
        Err(BackendFailure::Lost("no answer in time".to_owned()))
    };
    let finished = match future::or(call(agent, attempt, true), late).await {
        Ok(response) => DispatchResult::Responded(Arc::new(Response {
            status: response.status,
            content_type: response.content_type,
            body: response.body,
        })),
        Err(BackendFailure::NotSent) => {
            agent.probe.wake();
            DispatchResult::NotStarted
        }
        Err(BackendFailure::TooLarge) => DispatchResult::Responded(Arc::new(Response {
            status: TOO_LARGE_STATUS,
            content_type: "text/plain".to_owned(),
            body: b"The call ran, and its answer was too large.\n".to_vec(),
        })),
        Err(failure) => {
            log::warn!("agent: a call that is not idempotent may have run: {failure}");
            agent.probe.wake();
            DispatchResult::Unknown
        }
    };
    agent.dispatch_finished(attempt.job, finished);
}

async fn call<C: ConfigView>(
    agent: &Agent<C>,
    attempt: &Attempt,
    at_most_once: bool,
) -> Result<fuchsiabay_wire::PlainResponse, BackendFailure> {
    let Work::Plain { method, path, content_type, body } = &attempt.req.work else {
        return Err(BackendFailure::NotSent);
    };
    let call = PlainCall { method, path, content_type, body, key: attempt.req.key, at_most_once };
    agent.backend.call(&call).await
}
