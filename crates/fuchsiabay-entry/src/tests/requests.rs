//! Failures of agents, connections and callers.

use std::sync::{Arc, atomic::Ordering};

use fuchsiabay_routing::QuarantineRecord;
use fuchsiabay_runtime::{OpsSource, spawn};
use fuchsiabay_wire::{RefusalReason, Work};
use futures_lite::AsyncReadExt;

use super::{
    fake_agent::{
        ANSWER,
        Act::{self, *},
    },
    world::{Answer, World, chat_body, read_answer},
};
use crate::commands;

const CHAT: &str = "POST /v1/chat/completions";
const WORKSPACE: &str = "Fuchsiabay-Workspace: gate\r\n";
const KEYED: &str = "Fuchsiabay-Workspace: gate\r\nIdempotency-Key: 018f3c5e-7b1a-7c3d-8e4f-0123456789ab\r\n";
const END: u32 = ANSWER.len() as u32;

#[derive(Clone, Copy)]
enum Ask {
    Stream,
    Whole,
    LotRelease,
    LotStatus,
}

async fn ask(world: &World, what: Ask) -> Answer {
    match what {
        Ask::Stream => world.chat(true).await,
        Ask::Whole => world.chat(false).await,
        Ask::LotRelease => world.ask("POST /lots/release", KEYED, "{}").await,
        Ask::LotStatus => world.ask("GET /lots/17?full=1", WORKSPACE, "").await,
    }
}

/// Runs one request against agents that follow `acts` and compares status, verdict and number of submissions.
fn check(what: Ask, acts: &[Act], status: u16, verdict: &str, submissions: usize) {
    smol::block_on(async {
        let world = World::start(acts).await;
        let answer = ask(&world, what).await;
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(answer.header("fuchsiabay-verdict"), Some(verdict), "{answer:?}");
        assert_eq!(world.script.submissions.lock().len(), submissions);
        match what {
            Ask::Stream | Ask::Whole if status == 200 => assert_eq!(answer.text(), ANSWER.concat()),
            Ask::LotRelease | Ask::LotStatus if status == 201 => {
                assert_eq!(answer.body, "{\"released\":true}");
            }
            _ => assert!(answer.body.contains(&format!("\"verdict\":\"{verdict}\"")), "{answer:?}"),
        }
        if let (Ask::Stream, 200) = (what, status) {
            assert!(answer.is_complete() && answer.body.contains("\"completion_tokens\":4"), "{answer:?}");
        }
    });
}

macro_rules! cases {
    ($($name:ident: $what:expr, [$($act:expr),*] => $status:expr, $verdict:expr, $submissions:expr;)+) => {
        $(#[test] fn $name() { check($what, &[$($act),*], $status, $verdict, $submissions); })+
    };
}

// Each case names the failure that must neither repeat a call nor change an answer.
cases! {
    streamed: Ask::Stream, [SendUpTo(END)] => 200, "ran", 1;
    not_streamed: Ask::Whole, [SendUpTo(END)] => 200, "ran", 1;
    agent_dies_mid_stream: Ask::Stream, [DieAfter(2), SendUpTo(END)] => 200, "ran", 2;
    agent_stalls_mid_stream: Ask::Stream, [StallAfter(2), SendUpTo(END)] => 200, "ran", 2;
    agent_dies_before_the_end: Ask::Stream, [DieAfter(4), SendUpTo(END)] => 200, "ran", 2;
    agent_dies_before_the_first_token: Ask::Stream, [DieAfter(0), SendUpTo(END)] => 200, "ran", 2;
    agent_dies_mid_answer: Ask::Whole, [DieAfter(3), SendUpTo(END)] => 200, "ran", 2;
    agent_refuses: Ask::Stream, [Refuse(RefusalReason::Draining), SendUpTo(END)] => 200, "ran", 2;
    all_agents_refuse: Ask::Stream, [Refuse(RefusalReason::QueueFull), Refuse(RefusalReason::QueueFull)]
        => 429, "not-run", 2;
    lot_release: Ask::LotRelease, [Respond] => 201, "ran", 1;
    lot_release_connection_lost: Ask::LotRelease, [Vanish, Respond] => 502, "may-have-run", 1;
    lot_release_crashes: Ask::LotRelease, [Crash, Respond] => 502, "may-have-run", 1;
    lot_release_refused: Ask::LotRelease, [Refuse(RefusalReason::Draining), Respond] => 201, "ran", 2;
    lot_release_without_log: Ask::LotRelease, [Refuse(RefusalReason::LogUnavailable), Respond]
        => 503, "not-run", 1;
    lot_status_connection_lost: Ask::LotStatus, [Vanish, Respond] => 201, "ran", 2;
}

// A resumed attempt that starts at another token repeats or skips text.
#[test]
fn resumes_at_the_token_after_the_last_one() {
    smol::block_on(async {
        let world = World::start(&[DieAfter(3), SendUpTo(END)]).await;
        assert!(world.chat(true).await.is_complete());
        let submissions = world.script.submissions.lock();
        let [(first, _), (second, resumed)] = submissions.as_slice() else {
            panic!("two submissions expected");
        };
        assert_ne!(first, second, "the agent that died is not tried again");
        let Work::Generate { resume_from, resume_text, .. } = &resumed.work else {
            panic!("a generation expected");
        };
        assert_eq!((*resume_from, resume_text.as_str()), (3, "alpha be"));
    });
}

// A client must not take a truncated stream for a complete one.
#[test]
fn truncation_is_visible() {
    smol::block_on(async {
        let world = World::start(&[DieAfter(2), Refuse(RefusalReason::LogUnavailable)]).await;
        let answer = world.chat(true).await;
        assert_eq!((answer.status, answer.text().as_str()), (200, "alpha "));
        assert!(answer.body.contains("event: error\ndata: {"), "{answer:?}");
        assert!(!answer.body.contains("[DONE]") && !answer.body.ends_with("0\r\n\r\n"), "{answer:?}");
    });
}

// The agent knows that the request never started, so the caller may send it again.
#[test]
fn deadline_in_the_queue_is_not_run() {
    smol::block_on(async {
        let headers = format!("{WORKSPACE}Fuchsiabay-Deadline-Ms: 300\r\n");
        let world = World::start(&[Hang]).await;
        let answer = world.ask(CHAT, &headers, &chat_body(true)).await;
        assert_eq!((answer.status, answer.header("fuchsiabay-verdict")), (504, Some("not-run")));
    });
}

/// Checks that an instance that may not serve refuses, is not ready and sends nothing.
fn check_refuses(prepare: impl FnOnce(&World)) {
    smol::block_on(async {
        let world = World::start(&[SendUpTo(END)]).await;
        assert_eq!(world.entry.readiness(), Ok(()));
        prepare(&world);
        let answer = world.chat(true).await;
        assert_eq!((answer.status, answer.header("fuchsiabay-verdict")), (503, Some("not-run")));
        assert!(answer.header("retry-after").is_some());
        assert!(world.entry.readiness().is_err());
        assert!(world.script.submissions.lock().is_empty());
    });
}

// A process that cannot prove its configuration may act against one that was replaced.
#[test]
fn stale_configuration_refuses() {
    check_refuses(|world| world.entry.config.fresh.store(false, Ordering::SeqCst));
}

// New work at an instance that leaves would be cut off by its end.
#[test]
fn draining_refuses() {
    check_refuses(|world| world.entry.set_draining());
}

// An attempt that nobody waits for must not hold a slot of the engine.
fn check_caller_gone(act: Act, wait_for_text: bool) {
    smol::block_on(async {
        let world = World::start(&[act]).await;
        let mut socket = world.send(CHAT, WORKSPACE, &chat_body(true)).await;
        world.until(|world| !world.script.submissions.lock().is_empty()).await;
        if wait_for_text {
            socket.read_exact(&mut [0; 64]).await.unwrap();
        }
        drop(socket);
        world.until(|world| world.script.cancelled.load(Ordering::SeqCst)).await;
        world.until(|world| world.entry.open_requests() == 0).await;
    });
}

#[test]
fn caller_gone_before_the_first_token() {
    check_caller_gone(Hang, false);
}

#[test]
fn caller_gone_mid_stream() {
    check_caller_gone(Endless, true);
}

// A drain that cuts a stream off breaks the promise of a graceful shutdown.
#[test]
fn drain_waits_for_open_streams() {
    smol::block_on(async {
        let world = World::start(&[SendThroughGate]).await;
        let mut socket = world.send(CHAT, WORKSPACE, &chat_body(true)).await;
        world.until(|world| !world.script.submissions.lock().is_empty()).await;
        let entry = Arc::clone(&world.entry);
        let drained = spawn(async move { commands::drain(&entry).await });
        world.until(|world| world.entry.is_draining()).await;
        assert!(!drained.is_finished());
        world.script.gate_open.store(true, Ordering::SeqCst);
        let answer = read_answer(&mut socket).await;
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.text(), ANSWER.concat());
        drained.await;
    });
}

// A request that crashes every backend server it reaches must be stopped at all entry instances.
#[test]
fn crashing_request_is_quarantined() {
    smol::block_on(async {
        let world = World::start(&[Crash, Crash, SendUpTo(END)]).await;
        let first = world.chat(true).await;
        assert_eq!((first.status, first.header("fuchsiabay-verdict")), (422, Some("may-have-run")));
        let again = world.chat(true).await;
        assert_eq!((again.status, again.header("fuchsiabay-verdict")), (422, Some("not-run")));
        let solo: Vec<bool> = world.script.submissions.lock().iter().map(|(_, req)| req.solo).collect();
        assert_eq!(solo, [false, true], "a suspect runs alone");
        let records: Vec<_> = std::iter::from_fn(|| world.records.try_recv().ok()).collect();
        assert!(matches!(
            records.as_slice(),
            [QuarantineRecord::Crash { .. }, QuarantineRecord::Crash { .. }]
        ));
    });
}

// An innocent request that was in flight during a crash must not stay a suspect.
#[test]
fn innocent_request_is_cleared() {
    smol::block_on(async {
        let world = World::start(&[Crash, SendUpTo(END), SendUpTo(END)]).await;
        assert!(world.chat(true).await.is_complete());
        assert!(world.chat(true).await.is_complete());
        let solo: Vec<bool> = world.script.submissions.lock().iter().map(|(_, req)| req.solo).collect();
        assert_eq!(solo, [false, true, false]);
    });
}
