//! Generations through an agent whose engine fails, crashes or is slow.

mod support;

use std::sync::Arc;

use fuchsiabay_base::Verdict;
use fuchsiabay_runtime::{AttemptStream, spawn};
use fuchsiabay_settings::BackendKind;
use fuchsiabay_wire::{AttemptError, End, RefusalReason, SubmitReply, SubmitRequest};
use serde_json::json;
use support::{
    Harness, drain,
    fakes::{FakeEngine, FakeLog},
    generate, pause, until,
};

async fn start() -> (Arc<FakeEngine>, Harness) {
    let (engine, addr) = FakeEngine::start().await;
    let (_, log) = FakeLog::start().await;
    (engine, Harness::start("agent", BackendKind::Model, addr, log).await)
}

/// What an end says: the verdict, the error and the total.
type Said = (Verdict, Option<AttemptError>, u32);

fn said(end: &End) -> Said {
    (end.verdict, end.error, end.total_tokens)
}

fn check(prompt: &str, text: &str, expected: Said) {
    smol::block_on(async {
        let (_engine, harness) = start().await;
        let (received, end) = harness.run(&generate(prompt)).await;
        assert_eq!(String::from_utf8(received).unwrap(), text);
        assert_eq!(said(&end), expected);
    });
}

macro_rules! cases {
    ($($name:ident: $prompt:expr => $text:expr, $expected:expr;)+) => {
        $(#[test] fn $name() { check($prompt, $text, $expected); })+
    };
}

// Guards against an answer that passes as whole although tokens are missing.
cases! {
    whole_stream: "whole" => "aéc", (Verdict::Ran, None, 3);
    truncated_stream: "truncate" => "ab", (Verdict::MayHaveRun, Some(AttemptError::BackendLost), 2);
    stream_with_a_gap: "gap" => "a", (Verdict::MayHaveRun, Some(AttemptError::BackendError), 1);
}

async fn admitted(harness: &Harness, req: &SubmitRequest) -> AttemptStream {
    let (reply, stream) = harness.submit(req).await;
    assert!(matches!(reply, SubmitReply::Admitted { .. }), "{reply:?}");
    stream
}

/// Fills both slots with streams that the engine holds, and the queue with one that waits.
async fn fill(engine: &FakeEngine, harness: &Harness) -> ([AttemptStream; 2], AttemptStream) {
    let running = [admitted(harness, &generate("hold")).await, admitted(harness, &generate("hold")).await];
    until(|| engine.held() == 2).await;
    (running, admitted(harness, &generate("whole")).await)
}

// Guards against `not-run` for a stream that the engine saw, and against streams that nobody reads and nobody cancels.
#[test]
fn cancel_races_the_start() {
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
            let (_, end) = drain(&stream).await;
            let started = engine.prompts().contains(&format!("hold {round}"));
            assert!(!started || verdict.max(end.verdict) != Verdict::NotRun, "round {round}");
            assert!(started || end.verdict == Verdict::NotRun, "round {round}");
        }
        until(|| engine.held() == 0).await;
        harness.until(|load| load.running == 0 && load.queued == 0).await;
    });
}

// Guards against a slot that stays taken, and an engine that works for nobody, after an entry instance has gone.
#[test]
fn closed_connection_cancels_at_the_engine() {
    smol::block_on(async {
        let (engine, harness) = start().await;
        let _streams = fill(&engine, &harness).await;
        harness.peer.close();
        until(|| engine.held() == 0 && harness.agent.is_idle()).await;
        assert_eq!((engine.cancelled(), engine.prompts().len()), (2, 2));
    });
}

// Guards against a crash that is blamed on work that waited, and against streams that hang after a crash.
#[test]
fn crash_is_attributed_to_what_ran() {
    smol::block_on(async {
        let (engine, harness) = start().await;
        let (running, waiting) = fill(&engine, &harness).await;
        engine.fall_sick();
        for stream in &running {
            let (_, end) = drain(stream).await;
            assert_eq!(said(&end), (Verdict::MayHaveRun, Some(AttemptError::BackendLost), 1));
        }
        let (_, end) = drain(&waiting).await;
        assert_eq!(said(&end), (Verdict::NotRun, Some(AttemptError::BackendLost), 0));
        let (reply, _) = harness.submit(&generate("whole")).await;
        assert!(matches!(reply, SubmitReply::Refused { reason: RefusalReason::BackendDown, .. }));
    });
}

// Guards against a drain that cuts off a running stream or starts a waiting one.
#[test]
fn drain_lets_long_streams_end() {
    smol::block_on(async {
        let (engine, harness) = start().await;
        let (running, waiting) = fill(&engine, &harness).await;
        harness.agent.drain();
        let (_, end) = drain(&waiting).await;
        assert_eq!(said(&end), (Verdict::NotRun, Some(AttemptError::Draining), 0));
        let (reply, _) = harness.submit(&generate("whole")).await;
        assert!(matches!(reply, SubmitReply::Refused { reason: RefusalReason::Draining, .. }));
        assert!(!harness.agent.is_idle());
        engine.complete();
        for stream in &running {
            let (text, end) = drain(stream).await;
            assert_eq!((text.as_slice(), said(&end)), (b"az".as_slice(), (Verdict::Ran, None, 2)));
        }
        until(|| harness.agent.is_idle()).await;
    });
}

// Guards against short work that waits until a long stream has ended, and against a long stream that loses or repeats
// tokens when it makes room.
#[test]
fn long_stream_makes_room_and_resumes() {
    smol::block_on(async {
        let (engine, harness) = start().await;
        let long = || SubmitRequest { estimated_tokens: 2_000, ..generate("hold") };
        let running = [admitted(&harness, &long()).await, admitted(&harness, &long()).await];
        until(|| engine.held() == 2).await;
        let (_, end) = harness.run(&generate("whole")).await;
        assert_eq!(said(&end), (Verdict::Ran, None, 3));
        until(|| engine.prompts().len() == 4 && engine.held() == 2).await;
        assert_eq!(engine.cancelled(), 1);
        engine.complete();
        for stream in &running {
            let (text, end) = drain(stream).await;
            assert_eq!((text.as_slice(), said(&end)), (b"az".as_slice(), (Verdict::Ran, None, 2)));
        }
    });
}

// Guards against an engine that misses orders, or gets them under another token than their offset in the log.
#[test]
fn orders_come_from_the_log() {
    smol::block_on(async {
        let (engine, addr) = FakeEngine::start().await;
        let (log, log_addr) = FakeLog::start().await;
        let far = u64::MAX;
        for target in ["summaries-1", "summaries-2"] {
            log.put("orders-service", json!({ "kind": "load-model", "target": target, "deadline_ms": far }));
        }
        let _harness = Harness::start("agent", BackendKind::Model, addr, log_addr).await;
        let order = loop {
            match engine.target("load-model") {
                Some(order) if order["fence"] == 1 => break order,
                _ => pause().await,
            }
        };
        assert_eq!(order["target"], "summaries-2");
    });
}
