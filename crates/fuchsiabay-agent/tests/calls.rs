//! Plain calls through agents that share a log: what must run at most once does.

mod support;

use std::sync::Arc;

use fuchsiabay_base::Verdict;
use fuchsiabay_settings::BackendKind;
use fuchsiabay_wire::{AttemptError, RefusalReason, SubmitReply};
use support::{
    Harness, again,
    fakes::{FakeLog, FakeService},
    look_up, pause, release,
};

struct World {
    service: Arc<FakeService>,
    log: Arc<FakeLog>,
    agents: [Harness; 2],
}

/// Two agents in front of one service, which have read the log.
async fn start() -> World {
    let (service, addr) = FakeService::start().await;
    let (log, log_addr) = FakeLog::start().await;
    let agents = [
        Harness::start("agent-1", BackendKind::Plain, addr, log_addr).await,
        Harness::start("agent-2", BackendKind::Plain, addr, log_addr).await,
    ];
    let world = World { service, log, agents };
    for agent in [0, 1] {
        // A first release warms the claims up.
        until_released(&world, agent).await;
    }
    world
}

/// Submits releases with new keys until one runs.
async fn until_released(world: &World, agent: usize) {
    for random in 1_000.. {
        let (reply, stream) = world.agents[agent].submit(&release(random + 10_000 * agent as u128)).await;
        match reply {
            SubmitReply::Admitted { .. } => {
                let (_, end) = support::drain(&stream).await;
                if end.verdict == Verdict::Ran {
                    return;
                }
                assert_eq!((end.verdict, end.error), (Verdict::NotRun, Some(AttemptError::LogUnavailable)));
            }
            SubmitReply::Refused { reason, .. } => assert_eq!(reason, RefusalReason::LogUnavailable),
        }
        pause().await;
    }
}

// Guards against a look-up that depends on the log, or loses its answer on the way.
#[test]
fn look_up_passes_through() {
    smol::block_on(async {
        let world = start().await;
        world.log.set_down(true);
        let (_, end) = world.agents[0].run(&look_up()).await;
        let response = end.response.expect("an answer");
        assert_eq!(
            (end.verdict, response.status, response.body.as_slice()),
            (Verdict::Ran, 200, &b"\"dry\""[..])
        );
    });
}

// Guards against a second release when a caller repeats its call through another agent.
#[test]
fn duplicate_is_answered_from_the_outcome() {
    smol::block_on(async {
        let world = start().await;
        let req = release(1);
        let (_, first) = world.agents[0].run(&req).await;
        let (_, second) = world.agents[1].run(&again(&req)).await;
        assert_eq!((first.verdict, second.verdict), (Verdict::Ran, Verdict::Ran));
        assert_eq!(first.response, second.response);
        assert!(world.service.effects().iter().all(|count| *count == 1));
    });
}

// Guards against a second release when two agents get the same call at the same time.
#[test]
fn simultaneous_duplicates_run_once() {
    smol::block_on(async {
        let world = start().await;
        for random in 0..10 {
            let req = release(random);
            let repeated = again(&req);
            let first = world.agents[0].run(&req);
            let second = world.agents[1].run(&repeated);
            let ((_, first), (_, second)) = smol::future::zip(first, second).await;
            assert_eq!((first.verdict, second.verdict), (Verdict::Ran, Verdict::Ran), "{random}");
        }
        assert!(world.service.effects().iter().all(|count| *count == 1));
    });
}

// Guards against a key that is used for another call and gets its answer.
#[test]
fn key_of_another_body_is_refused() {
    smol::block_on(async {
        let world = start().await;
        let req = release(1);
        world.agents[0].run(&req).await;
        let mut other = again(&req);
        other.fingerprint = fuchsiabay_base::Fingerprint::of(&[b"other"]);
        let (_, end) = world.agents[0].run(&other).await;
        assert_eq!((end.verdict, end.error), (Verdict::NotRun, Some(AttemptError::KeyReused)));
    });
}

// Guards against a release without a claim, and against `not-run` for a call that ran before the log went down.
#[test]
fn log_outage_refuses_new_keys_and_answers_known_ones() {
    smol::block_on(async {
        let world = start().await;
        let known = release(1);
        world.agents[0].run(&known).await;
        // The agent answers from the outcome once it has read it back.
        let (_, first) = world.agents[0].run(&again(&known)).await;
        let before = world.service.effects().len();
        world.log.set_down(true);
        let refused = loop {
            let (reply, stream) = world.agents[0].submit(&release(fastrand::u128(..))).await;
            match reply {
                SubmitReply::Refused { reason, .. } => break reason,
                SubmitReply::Admitted { .. } => {
                    let (_, end) = support::drain(&stream).await;
                    assert_eq!(
                        (end.verdict, end.error),
                        (Verdict::NotRun, Some(AttemptError::LogUnavailable))
                    );
                }
            }
        };
        assert_eq!(refused, RefusalReason::LogUnavailable);
        let (_, repeated) = world.agents[0].run(&again(&known)).await;
        assert_eq!((repeated.verdict, repeated.response), (Verdict::Ran, first.response));
        assert_eq!(world.service.effects().len(), before);
    });
}

// Guards against a release under a claim whose append has no answer, and against a key that stays taken by it.
#[test]
fn lost_append_answer_is_not_run_and_frees_the_key() {
    smol::block_on(async {
        let world = start().await;
        let before = world.service.effects().len();
        world.log.set_loses_answers(true);
        let req = release(1);
        let end = loop {
            // The lost answer of an earlier record may have the agent refuse the call before it claims the key.
            match world.agents[0].submit(&again(&req)).await {
                (SubmitReply::Admitted { .. }, stream) => break support::drain(&stream).await.1,
                (SubmitReply::Refused { reason, .. }, _) => assert_eq!(reason, RefusalReason::LogUnavailable),
            }
            pause().await;
        };
        // The claim may be read back before its lost answer is noticed, and is then good.
        if end.verdict == Verdict::NotRun {
            assert_eq!(world.service.effects().len(), before);
        }
        world.log.set_loses_answers(false);
        loop {
            let (reply, stream) = world.agents[1].submit(&again(&req)).await;
            if matches!(reply, SubmitReply::Admitted { .. }) {
                let (_, end) = support::drain(&stream).await;
                if end.verdict == Verdict::Ran {
                    break;
                }
            }
            pause().await;
        }
        assert!(world.service.effects().iter().all(|count| *count == 1));
    });
}

// Guards against calls that could run twice because nothing names them.
#[test]
fn key_is_required() {
    smol::block_on(async {
        let world = start().await;
        let mut req = release(1);
        req.key = None;
        let (reply, _) = world.agents[0].submit(&req).await;
        assert!(matches!(reply, SubmitReply::Refused { reason: RefusalReason::KeyRequired, .. }));
    });
}
