//! Requests during failures of agents, connections and callers.

use std::sync::{Arc, atomic::Ordering};

use fuchsiabay_routing::QuarantineRecord;
use fuchsiabay_runtime::{OpsSource, spawn};
use fuchsiabay_wire::{RefusalReason, Work};
use futures_lite::AsyncReadExt;

use super::{
    fake_agent::{
        Action::{self, *},
        TOKENS,
    },
    harness::{Harness, Response, chat_body, read_response},
};
use crate::shutdown;

const CHAT: &str = "POST /v1/chat/completions";
const WORKSPACE: &str = "Fuchsiabay-Workspace: gate\r\n";
const HEADERS_WITH_KEY: &str =
    "Fuchsiabay-Workspace: gate\r\nIdempotency-Key: 018f3c5e-7b1a-7c3d-8e4f-0123456789ab\r\n";
const END: u32 = TOKENS.len() as u32;

#[derive(Clone, Copy)]
enum Request {
    ChatStream,
    Chat,
    LotRelease,
    LotStatus,
}

async fn send(harness: &Harness, request: Request) -> Response {
    match request {
        Request::ChatStream => harness.chat(true).await,
        Request::Chat => harness.chat(false).await,
        Request::LotRelease => harness.request("POST /lots/release", HEADERS_WITH_KEY, "{}").await,
        Request::LotStatus => harness.request("GET /lots/17?full=1", WORKSPACE, "").await,
    }
}

/// Sends one request to an entry instance whose agents follow `actions`, and checks the status, the verdict and the
/// number of submissions.
fn check(request: Request, actions: &[Action], status: u16, verdict: &str, submissions: usize) {
    smol::block_on(async {
        let harness = Harness::start(actions).await;
        let response = send(&harness, request).await;
        assert_eq!(response.status, status, "{response:?}");
        assert_eq!(response.header("fuchsiabay-verdict"), Some(verdict), "{response:?}");
        assert_eq!(harness.script.submissions.lock().len(), submissions);
        match request {
            Request::ChatStream | Request::Chat if status == 200 => {
                assert_eq!(response.text(), TOKENS.concat())
            }
            Request::LotRelease | Request::LotStatus if status == 201 => {
                assert_eq!(response.body, "{\"released\":true}");
            }
            _ => assert!(response.body.contains(&format!("\"verdict\":\"{verdict}\"")), "{response:?}"),
        }
        if let (Request::ChatStream, 200) = (request, status) {
            assert!(
                response.is_complete() && response.body.contains("\"completion_tokens\":4"),
                "{response:?}"
            );
        }
    });
}

macro_rules! cases {
    ($($name:ident: $request:expr, [$($action:expr),*] => $status:expr, $verdict:expr, $submissions:expr;)+) => {
        $(#[test] fn $name() { check($request, &[$($action),*], $status, $verdict, $submissions); })+
    };
}

// A failure of an agent must neither run a non-idempotent request twice nor change a response.
cases! {
    streamed: Request::ChatStream, [SendUpTo(END)] => 200, "ran", 1;
    not_streamed: Request::Chat, [SendUpTo(END)] => 200, "ran", 1;
    connection_lost_mid_stream: Request::ChatStream, [CloseAfter(2), SendUpTo(END)] => 200, "ran", 2;
    agent_stalls_mid_stream: Request::ChatStream, [StallAfter(2), SendUpTo(END)] => 200, "ran", 2;
    connection_lost_before_the_end: Request::ChatStream, [CloseAfter(4), SendUpTo(END)] => 200, "ran", 2;
    connection_lost_before_the_first_token: Request::ChatStream, [CloseAfter(0), SendUpTo(END)] => 200, "ran", 2;
    connection_lost_mid_response: Request::Chat, [CloseAfter(3), SendUpTo(END)] => 200, "ran", 2;
    agent_refuses: Request::ChatStream, [Refuse(RefusalReason::Draining), SendUpTo(END)] => 200, "ran", 2;
    all_agents_refuse: Request::ChatStream, [Refuse(RefusalReason::QueueFull), Refuse(RefusalReason::QueueFull)]
        => 429, "not-run", 2;
    lot_release: Request::LotRelease, [Respond] => 201, "ran", 1;
    lot_release_connection_lost: Request::LotRelease, [CloseWithoutReply, Respond] => 502, "may-have-run", 1;
    lot_release_crashes: Request::LotRelease, [Crash, Respond] => 502, "may-have-run", 1;
    lot_release_refused: Request::LotRelease, [Refuse(RefusalReason::Draining), Respond] => 201, "ran", 2;
    lot_release_without_log: Request::LotRelease, [Refuse(RefusalReason::LogUnavailable), Respond]
        => 503, "not-run", 1;
    lot_status_connection_lost: Request::LotStatus, [CloseWithoutReply, Respond] => 201, "ran", 2;
}

// If a resumed attempt starts at the wrong token, the caller receives repeated text or a gap.
#[test]
fn resumes_at_the_token_after_the_last_one() {
    smol::block_on(async {
        let harness = Harness::start(&[CloseAfter(3), SendUpTo(END)]).await;
        assert!(harness.chat(true).await.is_complete());
        let submissions = harness.script.submissions.lock();
        let [(first, _), (second, resumed)] = submissions.as_slice() else {
            panic!("two submissions expected");
        };
        assert_ne!(first, second, "the agent whose connection was lost is not tried again");
        let Work::Generate { resume_from, resume_text, .. } = &resumed.work else {
            panic!("a generation expected");
        };
        assert_eq!((*resume_from, resume_text.as_str()), (3, "alpha be"));
    });
}

// A client must be able to tell a truncated stream from a complete one.
#[test]
fn truncation_is_visible() {
    smol::block_on(async {
        let harness = Harness::start(&[CloseAfter(2), Refuse(RefusalReason::LogUnavailable)]).await;
        let response = harness.chat(true).await;
        assert_eq!((response.status, response.text().as_str()), (200, "alpha "));
        assert!(response.body.contains("event: error\ndata: {"), "{response:?}");
        assert!(!response.body.contains("[DONE]") && !response.body.ends_with("0\r\n\r\n"), "{response:?}");
    });
}

// The agent confirms that the request never started, so the caller may safely retry it.
#[test]
fn deadline_in_the_queue_is_not_run() {
    smol::block_on(async {
        let headers = format!("{WORKSPACE}Fuchsiabay-Deadline-Ms: 300\r\n");
        let harness = Harness::start(&[Hang]).await;
        let response = harness.request(CHAT, &headers, &chat_body(true)).await;
        assert_eq!((response.status, response.header("fuchsiabay-verdict")), (504, Some("not-run")));
    });
}

/// Checks that an instance that `prepare` has made unable to serve refuses requests, is not ready and submits nothing.
fn check_refuses(prepare: impl FnOnce(&Harness)) {
    smol::block_on(async {
        let harness = Harness::start(&[SendUpTo(END)]).await;
        assert_eq!(harness.entry.readiness(), Ok(()));
        prepare(&harness);
        let response = harness.chat(true).await;
        assert_eq!((response.status, response.header("fuchsiabay-verdict")), (503, Some("not-run")));
        assert!(response.header("retry-after").is_some());
        assert!(harness.entry.readiness().is_err());
        assert!(harness.script.submissions.lock().is_empty());
    });
}

// An instance that cannot prove that its configuration is current may serve under one that was replaced.
#[test]
fn stale_configuration_refuses() {
    check_refuses(|harness| harness.entry.config.fresh.store(false, Ordering::SeqCst));
}

// A new request at a draining instance would be interrupted when the instance stops.
#[test]
fn draining_refuses() {
    check_refuses(|harness| harness.entry.set_draining());
}

// An attempt whose caller is gone must be cancelled, so that it does not occupy a slot of the engine.
fn check_caller_gone(action: Action, wait_for_text: bool) {
    smol::block_on(async {
        let harness = Harness::start(&[action]).await;
        let mut socket = harness.send(CHAT, WORKSPACE, &chat_body(true)).await;
        harness.wait_until(|harness| !harness.script.submissions.lock().is_empty()).await;
        if wait_for_text {
            socket.read_exact(&mut [0; 64]).await.unwrap();
        }
        drop(socket);
        harness.wait_until(|harness| harness.script.cancelled.load(Ordering::SeqCst)).await;
        harness.wait_until(|harness| harness.entry.open_requests() == 0).await;
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

// A graceful shutdown must not interrupt an open stream.
#[test]
fn drain_waits_for_open_streams() {
    smol::block_on(async {
        let harness = Harness::start(&[SendThroughGate]).await;
        let mut socket = harness.send(CHAT, WORKSPACE, &chat_body(true)).await;
        harness.wait_until(|harness| !harness.script.submissions.lock().is_empty()).await;
        let entry = Arc::clone(&harness.entry);
        let drained = spawn(async move { shutdown::drain(&entry).await });
        harness.wait_until(|harness| harness.entry.is_draining()).await;
        assert!(!drained.is_finished());
        harness.script.gate_open.store(true, Ordering::SeqCst);
        let response = read_response(&mut socket).await;
        assert!(response.is_complete(), "{response:?}");
        assert_eq!(response.text(), TOKENS.concat());
        drained.await;
    });
}

// A request that crashes every backend server it runs on must be quarantined at all entry instances.
#[test]
fn crashing_request_is_quarantined() {
    smol::block_on(async {
        let harness = Harness::start(&[Crash, Crash, SendUpTo(END)]).await;
        let first = harness.chat(true).await;
        assert_eq!((first.status, first.header("fuchsiabay-verdict")), (422, Some("may-have-run")));
        let again = harness.chat(true).await;
        assert_eq!((again.status, again.header("fuchsiabay-verdict")), (422, Some("not-run")));
        let solo: Vec<bool> = harness.script.submissions.lock().iter().map(|(_, req)| req.solo).collect();
        assert_eq!(solo, [false, true], "a suspect runs alone");
        let records: Vec<_> = std::iter::from_fn(|| harness.records.try_recv().ok()).collect();
        assert!(matches!(
            records.as_slice(),
            [QuarantineRecord::Crash { .. }, QuarantineRecord::Crash { .. }]
        ));
    });
}

// A request that was only in flight during a crash that another request caused must not remain a suspect.
#[test]
fn suspect_that_completes_is_cleared() {
    smol::block_on(async {
        let harness = Harness::start(&[Crash, SendUpTo(END), SendUpTo(END)]).await;
        assert!(harness.chat(true).await.is_complete());
        assert!(harness.chat(true).await.is_complete());
        let solo: Vec<bool> = harness.script.submissions.lock().iter().map(|(_, req)| req.solo).collect();
        assert_eq!(solo, [false, true, false]);
    });
}

// An agent that moves to another zone must stay reachable: the connection of its server in the old zone is closed after
// some polls, and the agent needs a new one.
#[test]
fn agent_that_changes_its_zone_is_reconnected() {
    smol::block_on(async {
        let mut harness = Harness::start(&[]).await;
        harness.instances[0].zone = "b".into();
        harness.membership.apply(&harness.instances);
        // The connection of the old server is closed after four polls, 0.5 s apart.
        let closed_after = std::time::Instant::now() + std::time::Duration::from_millis(3_000);
        while std::time::Instant::now() < closed_after {
            smol::Timer::after(std::time::Duration::from_millis(500)).await;
            harness.membership.apply(&harness.instances);
        }
        smol::Timer::after(std::time::Duration::from_millis(500)).await;
        for (_, servers) in harness.entry.router.all() {
            for server in servers.iter() {
                assert!(!server.handle().peer().is_closed(), "no connection to {}", server.id());
            }
        }
    });
}
