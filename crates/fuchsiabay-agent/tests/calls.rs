//! Plain calls through agents that share a log: non-idempotent calls run at most once.

mod support;

use std::sync::Arc;

use fuchsiabay_base::Verdict;
use fuchsiabay_settings::BackendKind;
use fuchsiabay_wire::{AttemptError, RefusalReason, SubmitReply};
use support::{
    Harness,
    fakes::{FakeLog, FakeService},
    lot_release, lot_status, poll_delay, retry_of,
};

struct Deployment {
    service: Arc<FakeService>,
    log: Arc<FakeLog>,
    agents: [Harness; 2],
}

/// Starts two agents in front of one service and waits until they have read the log.
async fn start() -> Deployment {
    let (service, addr) = FakeService::start().await;
    let (log, log_addr) = FakeLog::start().await;
    let agents = [
        Harness::start("agent-1", BackendKind::Plain, addr, log_addr).await,
        Harness::start("agent-2", BackendKind::Plain, addr, log_addr).await,
    ];
    let deployment = Deployment { service, log, agents };
    for agent in [0, 1] {
        // A first release shows that the agent has read the log and can claim keys.
        release_until_one_runs(&deployment, agent).await;
    }
    deployment
}

/// Submits lot releases with new keys until one runs.
async fn release_until_one_runs(deployment: &Deployment, agent: usize) {
    for random in 1_000.. {
        let (reply, stream) =
            deployment.agents[agent].submit(&lot_release(random + 10_000 * agent as u128)).await;
        match reply {
            SubmitReply::Admitted { .. } => {
                let (_, end) = support::read_to_end(&stream).await;
                if end.verdict == Verdict::Ran {
                    return;
                }
                assert_eq!((end.verdict, end.error), (Verdict::NotRun, Some(AttemptError::LogUnavailable)));
            }
            SubmitReply::Refused { reason, .. } => assert_eq!(reason, RefusalReason::LogUnavailable),
        }
        poll_delay().await;
    }
}

// Guards against an idempotent call that depends on the log or whose response is lost.
#[test]
fn idempotent_call_is_relayed_without_the_log() {
    smol::block_on(async {
        let deployment = start().await;
        deployment.log.set_down(true);
        let (_, end) = deployment.agents[0].run(&lot_status()).await;
        let response = end.response.expect("a response");
        assert_eq!(
            (end.verdict, response.status, response.body.as_slice()),
            (Verdict::Ran, 200, &b"\"dry\""[..])
        );
    });
}

// Guards against a second release when a caller retries its call through another agent.
#[test]
fn duplicate_is_answered_from_the_outcome() {
    smol::block_on(async {
        let deployment = start().await;
        let req = lot_release(1);
        let (_, first) = deployment.agents[0].run(&req).await;
        let (_, second) = deployment.agents[1].run(&retry_of(&req)).await;
        assert_eq!((first.verdict, second.verdict), (Verdict::Ran, Verdict::Ran));
        assert_eq!(first.response, second.response);
        assert!(deployment.service.effects().iter().all(|count| *count == 1));
    });
}

// Guards against a second release when two agents receive the same call at the same time.
#[test]
fn simultaneous_duplicates_run_once() {
    smol::block_on(async {
        let deployment = start().await;
        for random in 0..10 {
            let req = lot_release(random);
            let repeated = retry_of(&req);
            let first = deployment.agents[0].run(&req);
            let second = deployment.agents[1].run(&repeated);
            let ((_, first), (_, second)) = smol::future::zip(first, second).await;
            assert_eq!((first.verdict, second.verdict), (Verdict::Ran, Verdict::Ran), "{random}");
        }
        assert!(deployment.service.effects().iter().all(|count| *count == 1));
    });
}

// Guards against answering a call with the outcome of another call with the same key.
#[test]
fn key_reuse_with_another_body_is_refused() {
    smol::block_on(async {
        let deployment = start().await;
        let req = lot_release(1);
        deployment.agents[0].run(&req).await;
        let mut other = retry_of(&req);
        other.fingerprint = fuchsiabay_base::Fingerprint::of(&[b"other"]);
        let (_, end) = deployment.agents[0].run(&other).await;
        assert_eq!((end.verdict, end.error), (Verdict::NotRun, Some(AttemptError::KeyReused)));
    });
}

// Guards against a release without a claim, and against reporting `not-run` for a call that ran before the log went
// down.
#[test]
fn log_outage_refuses_new_keys_and_answers_known_ones() {
    smol::block_on(async {
        let deployment = start().await;
        let known = lot_release(1);
        deployment.agents[0].run(&known).await;
        // This response comes from the recorded outcome, so the agent has read the outcome back.
        let (_, first) = deployment.agents[0].run(&retry_of(&known)).await;
        let before = deployment.service.effects().len();
        deployment.log.set_down(true);
        let refused = loop {
            let (reply, stream) = deployment.agents[0].submit(&lot_release(fastrand::u128(..))).await;
            match reply {
                SubmitReply::Refused { reason, .. } => break reason,
                SubmitReply::Admitted { .. } => {
                    let (_, end) = support::read_to_end(&stream).await;
                    assert_eq!(
                        (end.verdict, end.error),
                        (Verdict::NotRun, Some(AttemptError::LogUnavailable))
                    );
                }
            }
        };
        assert_eq!(refused, RefusalReason::LogUnavailable);
        let (_, repeated) = deployment.agents[0].run(&retry_of(&known)).await;
        assert_eq!((repeated.verdict, repeated.response), (Verdict::Ran, first.response));
        assert_eq!(deployment.service.effects().len(), before);
    });
}

// Guards against a release under a claim whose append got no response, and against a key that this claim blocks
// forever.
#[test]
fn lost_append_response_is_not_run_and_frees_the_key() {
    smol::block_on(async {
        let deployment = start().await;
        let before = deployment.service.effects().len();
        deployment.log.set_drops_append_responses(true);
        let req = lot_release(1);
        let end = loop {
            // The agent may refuse the call before it claims the key, because the response to an earlier append was
            // lost.
            match deployment.agents[0].submit(&retry_of(&req)).await {
                (SubmitReply::Admitted { .. }, stream) => break support::read_to_end(&stream).await.1,
                (SubmitReply::Refused { reason, .. }, _) => assert_eq!(reason, RefusalReason::LogUnavailable),
            }
            poll_delay().await;
        };
        // If the agent reads the claim back before it notices the lost response, the claim is valid and the call runs.
        if end.verdict == Verdict::NotRun {
            assert_eq!(deployment.service.effects().len(), before);
        }
        deployment.log.set_drops_append_responses(false);
        loop {
            let (reply, stream) = deployment.agents[1].submit(&retry_of(&req)).await;
            if matches!(reply, SubmitReply::Admitted { .. }) {
                let (_, end) = support::read_to_end(&stream).await;
                if end.verdict == Verdict::Ran {
                    break;
                }
            }
            poll_delay().await;
        }
        assert!(deployment.service.effects().iter().all(|count| *count == 1));
    });
}

// Guards against non-idempotent calls that could run twice because they have no idempotency key.
#[test]
fn key_is_required() {
    smol::block_on(async {
        let deployment = start().await;
        let mut req = lot_release(1);
        req.key = None;
        let (reply, _) = deployment.agents[0].submit(&req).await;
        assert!(matches!(reply, SubmitReply::Refused { reason: RefusalReason::KeyRequired, .. }));
    });
}
