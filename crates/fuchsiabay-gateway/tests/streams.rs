//! Event streams: relayed in order, resumed at another server, and never ended as complete when they are not.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use std::time::{Duration, Instant};

use support::{Behaviour, Harness};

const EVENTS: u64 = 6;

const COMPLETE: Behaviour = Behaviour::Stream { events: EVENTS, close_after: None, pause_ms: 0 };

const fn interrupted_after(events: u64) -> Behaviour {
    Behaviour::Stream { events: EVENTS, close_after: Some(events), pause_ms: 0 }
}

fn request(path: &str, rest: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\nX-Left: 900\r\n{rest}\r\n"
    )
}

fn events(from: u64, to: u64) -> String {
    (from..=to).map(|id| format!("id: {id}\ndata: e{id}\n\n")).collect()
}

/// Sends a request to a service with two servers that share `script`. Checks the events that the caller receives and whether
/// the stream ends as complete.
async fn check(path: &str, script: &[Behaviour], last_event: u64, is_complete: bool) {
    let harness = Harness::start(2, script).await;
    let response =
        harness.caller().await.round_trip(request(path, "").as_bytes()).await.expect("a response head");
    assert_eq!(String::from_utf8(response.body).unwrap(), events(1, last_event));
    assert_eq!((response.status, response.is_complete), (200, is_complete));
}

cases! { check:
    complete_stream_is_relayed("/stream/a", &[COMPLETE], EVENTS, true);
    /// Guards against a gap or a repeated event after a stream is resumed at another server.
    interrupted_stream_is_resumed("/stream/a", &[interrupted_after(2), COMPLETE], EVENTS, true);
    incomplete_event_is_not_forwarded("/stream/a", &[Behaviour::IncompleteEvent { close_after: 2 }, COMPLETE], EVENTS, true);
    /// Guards against a partial stream that ends as if it were complete.
    stream_that_fails_on_every_server_is_aborted("/stream/a", &[interrupted_after(2)], 4, false);
    non_resumable_stream_is_aborted("/once/a", &[interrupted_after(2), COMPLETE], 2, false);
}

const ERROR: Behaviour = Behaviour::Status(500);
const ERROR_WITHOUT_STAMP: Behaviour = Behaviour::Raw(
    "HTTP/1.1 500 S\r\nX-Call: {id}\r\nContent-Length: 27\r\n\r\nid: 3\ndata: internal error\n\n",
);
const HEAD_TWICE: Behaviour = Behaviour::Raw(
    "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\nHTTP/1.1 500 S\r\nX-Call: {id}\r\n\r\nid: 3\n\n",
);
const EMPTY_SUCCESS: Behaviour =
    Behaviour::Raw("HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n");
const NO_CONTENT: Behaviour = Behaviour::Raw("HTTP/1.1 204 N\r\nX-Call: {id}\r\nX-Stamp: s\r\n\r\n");
const ERROR_AS_SUCCESS: Behaviour = Behaviour::Raw(
    "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Type: text/plain\r\nContent-Length: 15\r\n\r\nid: 3\nfailed\n\n\n",
);
const CUT_HEAD: Behaviour = Behaviour::Raw("HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\n");
const CUT_LAST_CHUNK: Behaviour = Behaviour::Raw(
    "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
);

// Guards against the error of the server that was to resume a stream in the middle of that stream, and against a stream that ends
// there as if it were complete.
cases! { check:
    error_at_the_resumption_is_not_relayed("/stream/a", &[interrupted_after(2), ERROR], 2, false);
    error_without_stamp_at_the_resumption_is_not_relayed("/stream/a", &[interrupted_after(2), ERROR_WITHOUT_STAMP], 2, false);
    second_head_in_the_stream_is_not_relayed("/stream/a", &[interrupted_after(2), HEAD_TWICE], 2, false);
    full_server_at_the_resumption_ends_no_stream("/stream/a", &[interrupted_after(2), Behaviour::Full], 2, false);
    empty_success_at_the_resumption_ends_no_stream("/stream/a", &[interrupted_after(2), EMPTY_SUCCESS], 2, false);
    success_without_content_at_the_resumption_ends_no_stream("/stream/a", &[interrupted_after(2), NO_CONTENT], 2, false);
    other_content_at_the_resumption_is_not_relayed("/stream/a", &[interrupted_after(2), ERROR_AS_SUCCESS], 2, false);
    head_cut_at_the_resumption_ends_no_stream("/stream/a", &[interrupted_after(2), CUT_HEAD], 2, false);
    last_chunk_cut_at_the_resumption_ends_no_stream("/stream/a", &[interrupted_after(2), CUT_LAST_CHUNK], 2, false);
}

/// Guards against a stream that starts from the beginning when its caller resumes it.
#[test]
fn caller_resumes_after_its_last_event() {
    smol::block_on(async {
        let harness = Harness::start(1, &[COMPLETE]).await;
        let response = harness
            .caller()
            .await
            .round_trip(request("/stream/a", "Last-Event-Id: 4\r\n").as_bytes())
            .await
            .unwrap();
        assert_eq!(String::from_utf8(response.body).unwrap(), events(5, EVENTS));
        assert!(response.is_complete);
    });
}

/// Guards against events that are buffered instead of forwarded immediately.
#[test]
fn events_are_not_buffered() {
    smol::block_on(async {
        let slow = Behaviour::Stream { events: 3, close_after: None, pause_ms: 120 };
        let harness = Harness::start(1, &[slow]).await;
        let mut caller = harness.caller().await;
        let started = Instant::now();
        caller.send(request("/stream/a", "").as_bytes()).await;
        assert!(!caller.is_closed_within(180).await, "the stream was closed before the first event");
        let response = caller.receive().await.unwrap();
        assert!(response.is_complete);
        assert!(started.elapsed() >= Duration::from_millis(360), "{:?}", started.elapsed());
    });
}

/// Guards against servers that keep generating after the caller disconnected between two events.
#[test]
fn caller_disconnect_between_events_cancels_the_stream() {
    smol::block_on(async {
        let slow = Behaviour::Stream { events: 100, close_after: None, pause_ms: 300 };
        let harness = Harness::start(1, &[slow]).await;
        let mut caller = harness.caller().await;
        caller.send(request("/stream/a", "").as_bytes()).await;
        smol::Timer::after(Duration::from_millis(400)).await;
        drop(caller);
        smol::Timer::after(Duration::from_millis(450)).await;
        assert_eq!(harness.servers[0].cancelled(), 1);
    });
}

/// Guards against a stream that continues past its route's timeout.
#[test]
fn stream_ends_at_the_timeout() {
    smol::block_on(async {
        let slow = Behaviour::Stream { events: 100, close_after: None, pause_ms: 100 };
        let harness = Harness::start(1, &[slow]).await;
        let started = Instant::now();
        let response = harness.caller().await.round_trip(request("/stream/a", "").as_bytes()).await.unwrap();
        assert!(!response.is_complete);
        assert!(started.elapsed() < Duration::from_millis(1_400), "{:?}", started.elapsed());
    });
}
