//! Runs a call to a plain service.

use std::sync::Arc;

use fuchsiabay_claims::{DispatchResult, Response};
use fuchsiabay_runtime::sleep_until;
use fuchsiabay_wire::{AttemptError, Work};
use futures_lite::future;

use crate::{
    Agent, ConfigView,
    agent::AttemptOutcome,
    attempt::{Attempt, ControlMessage},
    backend::{BackendFailure, PlainCall},
    stream_relay,
};

/// How long after its deadline an at-most-once call waits for its response, in milliseconds. The caller is gone by
/// then, but a retry with the same key is answered from the recorded outcome.
const OUTCOME_WAIT_MS: u64 = 60_000;

/// The status recorded for a response that is too large to be recorded.
const TOO_LARGE_STATUS: u16 = 502;

/// Runs an idempotent call. A cancellation only stops waiting for the response, because plain services cannot cancel a
/// call.
pub(crate) async fn run<C: ConfigView>(agent: &Arc<Agent<C>>, attempt: &Arc<Attempt>) {
    let outcome = call_until_stopped(agent, attempt).await;
    let cost = if outcome.verdict == fuchsiabay_base::Verdict::NotRun { 0 } else { attempt.cost(0) };
    agent.finish(attempt.job, cost, outcome);
}

async fn call_until_stopped<C: ConfigView>(agent: &Arc<Agent<C>>, attempt: &Attempt) -> AttemptOutcome {
    if attempt.is_cancelled() {
        return AttemptOutcome::not_run(AttemptError::Cancelled);
    }
    let call = async {
        match call(agent, attempt, false).await {
            Ok(response) => AttemptOutcome::responded(response),
            Err(failure) => stream_relay::failure_outcome(agent, &failure, 0),
        }
    };
    let stopped = async {
        match attempt.control_rx.recv().await {
            Ok(ControlMessage::BackendCrashed) => AttemptOutcome::may_have_run(AttemptError::BackendLost, 0),
            _ => AttemptOutcome::may_have_run(AttemptError::Cancelled, 0),
        }
    };
    let timeout = async {
        sleep_until(attempt.deadline).await;
        AttemptOutcome::may_have_run(AttemptError::DeadlinePassed, 0)
    };
    future::or(stopped, future::or(call, timeout)).await
}

/// Runs a call that won its claim. It continues after a cancellation or the loss of the connection to the entry
/// instance, because its outcome must be recorded.
pub(crate) async fn run_claimed<C: ConfigView>(agent: &Arc<Agent<C>>, attempt: &Arc<Attempt>) {
    let timeout = async {
        sleep_until(attempt.deadline.plus_millis(OUTCOME_WAIT_MS)).await;
        Err(BackendFailure::NoValidResponse("timed out".to_owned()))
    };
    let result = match future::or(call(agent, attempt, true), timeout).await {
        Ok(response) => DispatchResult::Responded(Arc::new(Response {
            status: response.status,
            content_type: response.content_type,
            body: response.body,
        })),
        Err(BackendFailure::NotSent) => {
            agent.probe_request.notify();
            DispatchResult::NotStarted
        }
        Err(BackendFailure::TooLarge) => DispatchResult::Responded(Arc::new(Response {
            status: TOO_LARGE_STATUS,
            content_type: "text/plain".to_owned(),
            body: b"The call ran, and its answer was too large.\n".to_vec(),
        })),
        Err(failure) => {
            log::warn!("agent: a non-idempotent call may have run: {failure}");
            agent.probe_request.notify();
            DispatchResult::Unknown
        }
    };
    agent.dispatch_finished(attempt.job, result);
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
    agent.backend.call_service(&call).await
}
