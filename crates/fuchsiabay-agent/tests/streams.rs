//! Token streams through an agent whose engine fails, crashes or holds streams open.

mod support;

use std::sync::Arc;

use fuchsiabay_base::Verdict;
use fuchsiabay_runtime::{AttemptStream, spawn};
use fuchsiabay_settings::BackendKind;
use fuchsiabay_wire::{AttemptError, End, RefusalReason, SubmitReply, SubmitRequest};
use serde_json::json;
use support::{
    Harness,
    fakes::{FakeEngine, FakeLog},
    generate, poll_delay, read_to_end, wait_until,
};

async fn start() -> (Arc<FakeEngine>, Harness) {
    let (engine, addr) = FakeEngine::start().await;
    let (_, log) = FakeLog::start().await;
    (engine, Harness::start("agent", BackendKind::Model, addr, log).await)
}

/// The verdict, the error and the token total of an `End` frame.
type EndSummary = (Verdict, Option<AttemptError>, u32);

fn summary(end: &End) -> EndSummary {
    (end.verdict, end.error, end.total_tokens)
}

fn check(prompt: &str, text: &str, expected: EndSummary) {
    smol::block_on(async {
        let (_engine, harness) = start().await;
        let (received, end) = harness.run(&generate(prompt)).await;
        assert_eq!(String::from_utf8(received).unwrap(), text);
        assert_eq!(summary(&end), expected);
    });
}

macro_rules! cases {
    ($($name:ident: $prompt:expr => $text:expr, $expected:expr;)+) => {
        $(#[test] fn $name() { check($prompt, $text, $expected); })+
    };
}

// Guards against reporting a stream as complete although tokens are missing.
cases! {
    complete_stream: "whole" => "aéc", (Verdict::Ran, None, 3);
    truncated_stream: "truncate" => "ab", (Verdict::MayHaveRun, Some(AttemptError::BackendLost), 2);
    stream_with_a_gap: "gap" => "a", (Verdict::MayHaveRun, Some(AttemptError::BackendError), 1);
}

async fn submit_admitted(harness: &Harness, req: &SubmitRequest) -> AttemptStream {
    let (reply, stream) = harness.submit(req).await;
    assert!(matches!(reply, SubmitReply::Admitted { .. }), "{reply:?}");
    stream
}

/// Fills both slots with streams that the engine holds open, and queues one more stream.
async fn fill_slots_and_queue(engine: &FakeEngine, harness: &Harness) -> ([AttemptStream; 2], AttemptStream) {
    let running = [
        submit_admitted(harness, &generate("hold")).await,
        submit_admitted(harness, &generate("hold")).await,
    ];
    wait_until(|| engine.held() == 2).await;
    (running, submit_admitted(harness, &generate("whole")).await)
}

// Guards against reporting `not-run` for a stream that reached the engine, and against a cancelled stream that keeps
// running at the engine.
#[test]
fn cancellation_races_with_the_start() {
    smol::block_on(async {
        let (engine, harness) = start().await;
        let harness = Arc::new(harness);
        for round in 0..40 {
            let req = generate(&format!("hold {round}"));
            let (attempt, racing) = (req.attempt, Arc::clone(&harness));
            let submitted = spawn(async move { racing.submit(&req).await });
            for _ in 0..round % 4 {
                smol::future::yield_now().await;
            }
            let verdict = harness.cancel(attempt).await;
            let (reply, stream) = submitted.await;
            if matches!(reply, SubmitReply::Refused { .. }) {
                continue;
            }
            let (_, end) = read_to_end(&stream).await;
            let started = engine.prompts().contains(&format!("hold {round}"));
            assert!(!started || verdict.max(end.verdict) != Verdict::NotRun, "round {round}");
            assert!(started || end.verdict == Verdict::NotRun, "round {round}");
        }
        wait_until(|| engine.held() == 0).await;
        harness.wait_for_load(|load| load.running == 0 && load.queued == 0).await;
    });
}

// Guards against a slot that stays occupied and a stream that keeps running at the engine after the connection to the
// entry instance has closed.
#[test]
fn closed_connection_cancels_at_the_engine() {
    smol::block_on(async {
        let (engine, harness) = start().await;
        let _streams = fill_slots_and_queue(&engine, &harness).await;
        harness.peer.close();
        wait_until(|| engine.held() == 0 && harness.agent.is_idle()).await;
        assert_eq!((engine.cancelled(), engine.prompts().len()), (2, 2));
    });
}

// Guards against attributing a crash to queued work, and against streams that hang after a crash.
#[test]
fn crash_is_attributed_to_running_streams() {
    smol::block_on(async {
        let (engine, harness) = start().await;
        let (running, waiting) = fill_slots_and_queue(&engine, &harness).await;
        engine.fail_health_probes();
        for stream in &running {
            let (_, end) = read_to_end(stream).await;
            assert_eq!(summary(&end), (Verdict::MayHaveRun, Some(AttemptError::BackendLost), 1));
        }
        let (_, end) = read_to_end(&waiting).await;
        assert_eq!(summary(&end), (Verdict::NotRun, Some(AttemptError::BackendLost), 0));
        let (reply, _) = harness.submit(&generate("whole")).await;
        assert!(matches!(reply, SubmitReply::Refused { reason: RefusalReason::BackendDown, .. }));
    });
}

// Guards against a drain that interrupts a running stream or starts a queued one.
#[test]
fn drain_lets_running_streams_finish() {
    smol::block_on(async {
        let (engine, harness) = start().await;
        let (running, waiting) = fill_slots_and_queue(&engine, &harness).await;
        harness.agent.drain();
        let (_, end) = read_to_end(&waiting).await;
        assert_eq!(summary(&end), (Verdict::NotRun, Some(AttemptError::Draining), 0));
        let (reply, _) = harness.submit(&generate("whole")).await;
        assert!(matches!(reply, SubmitReply::Refused { reason: RefusalReason::Draining, .. }));
        assert!(!harness.agent.is_idle());
        engine.complete_held_streams();
        for stream in &running {
            let (text, end) = read_to_end(stream).await;
            assert_eq!((text.as_slice(), summary(&end)), (b"az".as_slice(), (Verdict::Ran, None, 2)));
        }
        wait_until(|| harness.agent.is_idle()).await;
    });
}

// Guards against short work that waits until a long stream has ended, and against a long stream that loses or repeats
// tokens when it is paused.
#[test]
fn long_stream_is_paused_for_short_work_and_resumes() {
    smol::block_on(async {
        let (engine, harness) = start().await;
        let long = || SubmitRequest { estimated_tokens: 2_000, ..generate("hold") };
        let running = [submit_admitted(&harness, &long()).await, submit_admitted(&harness, &long()).await];
        wait_until(|| engine.held() == 2).await;
        let (_, end) = harness.run(&generate("whole")).await;
        assert_eq!(summary(&end), (Verdict::Ran, None, 3));
        wait_until(|| engine.prompts().len() == 4 && engine.held() == 2).await;
        assert_eq!(engine.cancelled(), 1);
        engine.complete_held_streams();
        for stream in &running {
            let (text, end) = read_to_end(stream).await;
            assert_eq!((text.as_slice(), summary(&end)), (b"az".as_slice(), (Verdict::Ran, None, 2)));
        }
    });
}

// Guards against orders that do not reach the engine, or whose fencing token is not their offset in the log.
#[test]
fn orders_are_applied_from_the_log() {
    smol::block_on(async {
        let (engine, addr) = FakeEngine::start().await;
        let (log, log_addr) = FakeLog::start().await;
        let far = u64::MAX;
        for target in ["summaries-1", "summaries-2"] {
            log.append_record(
                "orders-service",
                json!({ "kind": "load-model", "target": target, "deadline_ms": far }),
            );
        }
        let _harness = Harness::start("agent", BackendKind::Model, addr, log_addr).await;
        let order = loop {
            match engine.last_order("load-model") {
                Some(order) if order["fence"] == 1 => break order,
                _ => poll_delay().await,
            }
        };
        assert_eq!(order["target"], "summaries-2");
    });
}
