//! Servers that send bytes without end, bytes that belong to another request, or numbers that overflow.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use std::time::{Duration, Instant};

use smol::Timer;
use support::{Behaviour, Harness};

const OK: Behaviour = Behaviour::Respond("whole");

/// The most bytes that a server may send before the gateway closes the connection: a fifth of the memory of the smallest
/// instance, 160 MB. It includes what the kernel buffers.
const MAX_ACCEPTED_BYTES: usize = 32 * 1024 * 1024;

/// The time within which the gateway closes the connection of a server that sends bytes without end, in milliseconds. It is
/// the timeout of the route and the 0.5 s within which a response must follow.
const CLOSE_MS: u64 = 1_500;

fn request(path: &str, id: &str) -> String {
    support::get_request(path, id, 900)
}

/// Sends a request to a server that sends `head` and then `repeated` without end. Checks that the caller is told in time that
/// the request may have run, and that the gateway closes the server's connection after a bounded number of bytes.
async fn check(path: &str, head: &'static str, repeated: &'static str) {
    let harness = Harness::start(1, &[Behaviour::Endless { head, repeated }]).await;
    let started = Instant::now();
    let status = harness.get_status(path, "c1").await;
    assert!([502, 504].contains(&status), "status {status}");
    while harness.servers[0].cancelled() == 0 {
        assert!(started.elapsed() < Duration::from_millis(CLOSE_MS), "the connection is still open");
        Timer::after(Duration::from_millis(10)).await;
    }
    let sent = harness.servers[0].endless_bytes();
    assert!(sent <= MAX_ACCEPTED_BYTES, "{sent} bytes were accepted");
}

const LENGTH_HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Length: 1099511627776\r\n\r\n";
const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\n\r\n";
const TRAILERS_HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
const ERROR_HEAD: &str = "HTTP/1.1 400 Bad\r\nX-Call: {id}\r\nX-Stamp: s\r\n\r\n";

// Guards against a server that uses up the memory or the processor time of the gateway.
cases! { check:
    endless_bytes_without_a_head_are_cut_off("/unsafe/a", "", "no response ");
    endless_header_line_is_cut_off("/unsafe/a", "HTTP/1.1 200 OK\r\nX-Pad: ", "x");
    endless_header_lines_are_cut_off("/unsafe/a", "HTTP/1.1 200 OK\r\n", "X-Pad: 1\r\n");
    endless_interim_responses_are_cut_off("/unsafe/a", "", "HTTP/1.1 102 Processing\r\n\r\n");
    endless_body_with_a_length_is_cut_off("/unsafe/a", LENGTH_HEAD, "x");
    endless_chunked_body_is_cut_off("/unsafe/a", CHUNKED_HEAD, "5\r\nbytes\r\n");
    endless_unframed_body_is_cut_off("/unsafe/a", UNFRAMED_HEAD, "x");
    endless_trailers_are_cut_off("/unsafe/a", TRAILERS_HEAD, "X-Pad: 1\r\n");
    endless_chunk_extension_is_cut_off("/unsafe/a", CHUNKED_HEAD, "5;x=");
    endless_error_body_is_cut_off("/unsafe/a", ERROR_HEAD, "x");
    endless_bytes_without_an_event_are_cut_off("/once/a", UNFRAMED_HEAD, "x");
    endless_empty_lines_in_a_stream_are_cut_off("/once/a", UNFRAMED_HEAD, "\n");
    endless_trailers_of_a_stream_are_cut_off("/once/a", TRAILERS_HEAD, "X-Pad: 1\r\n");
}

/// Guards against many endless bodies that together exceed the memory of the gateway.
#[test]
fn concurrent_endless_bodies_share_one_limit() {
    smol::block_on(async {
        let harness = Harness::start(4, &[Behaviour::Endless { head: LENGTH_HEAD, repeated: "x" }]).await;
        let tasks: Vec<_> = (0..16)
            .map(|i| {
                let addr = harness.gateway.listen_addr();
                smol::spawn(async move {
                    let mut caller = support::Caller::connect(addr).await;
                    let id = format!("c{i}");
                    caller.round_trip(request("/unsafe/a", &id).as_bytes()).await.map(|r| r.status)
                })
            })
            .collect();
        for task in tasks {
            assert_eq!(task.await, Some(502));
        }
        let sent: usize = harness.servers.iter().map(support::FakeServer::endless_bytes).sum();
        // Each connection may hold some megabytes in the buffers of the kernel.
        assert!(sent <= 4 * MAX_ACCEPTED_BYTES, "{sent} bytes were accepted");
    });
}

/// Guards against a panic or a wrapped sum if a server or a caller states the largest numbers.
#[test]
fn largest_numbers_do_not_overflow() {
    smol::block_on(async {
        let harness = Harness::start(1, &[Behaviour::LargestNumbers]).await;
        let tokens = format!("X-Tokens: {0},{0}\r\nX-Hint: {0}\r\n\r\n", u64::MAX);
        let request = request("/unsafe/a", "c1").replace("\r\n\r\n", &format!("\r\n{tokens}"));
        // The second request may be refused, because the server reports more load than it has slots.
        for allowed in [&[200][..], &[200, 503]] {
            let response = harness.caller().await.round_trip(request.as_bytes()).await;
            let status = response.expect("the gateway responds").status;
            assert!(allowed.contains(&status), "status {status}");
        }
    });
}

/// Guards against a panic if a caller resumes after the largest event id.
#[test]
fn largest_event_id_does_not_overflow() {
    smol::block_on(async {
        let events = Behaviour::Endless { head: UNFRAMED_HEAD, repeated: "id: 0\ndata: e0\n\n" };
        let harness = Harness::start(1, &[events]).await;
        let last = format!("\r\nLast-Event-Id: {}\r\n\r\n", u64::MAX);
        let request = request("/once/a", "c1").replace("\r\n\r\n", &last);
        let response = harness.caller().await.round_trip(request.as_bytes()).await;
        assert_eq!(response.map(|response| response.status), Some(502), "no event follows the largest id");
    });
}

/// Guards against a late second copy of a response that reaches the next caller on the same connection.
#[test]
fn late_copy_does_not_reach_another_caller() {
    smol::block_on(async {
        for delay_ms in [0, 5, 20, 60] {
            let script = [Behaviour::LateCopy(delay_ms), Behaviour::Slow(100), OK];
            let harness = Harness::start(1, &script).await;
            let mut caller = harness.caller().await;
            let first = caller.round_trip(request("/safe/a", "c1").as_bytes()).await.unwrap();
            assert_eq!((first.status, first.body.as_slice()), (200, b"copied".as_slice()));
            let second = caller.round_trip(request("/unsafe/b", "c2").as_bytes()).await.unwrap();
            assert_ne!(second.body, b"copied");
            assert!(second.header("x-call").is_none_or(|id| id == "c2"), "{}", second.head);
        }
    });
}

/// Guards against a response that cannot be attributed to the request: it may be the late copy of another one.
#[test]
fn response_without_request_id_is_not_trusted() {
    smol::block_on(async {
        for behaviour in
            [Behaviour::FullWithoutId, Behaviour::StatusWithoutId(400), Behaviour::StatusWithoutId(500)]
        {
            let harness = Harness::start(1, &[behaviour.clone(), OK]).await;
            assert_eq!(harness.get_status("/unsafe/a", "c1").await, 502, "{behaviour:?}");
        }
    });
}

/// Guards against a stalled stream that never ends, because its server sends a byte from time to time.
#[test]
fn trickling_stream_ends_at_the_timeout() {
    smol::block_on(async {
        let harness = Harness::start(1, &[Behaviour::Trickle { pause_ms: 50 }]).await;
        let started = Instant::now();
        let response = harness.caller().await.round_trip(request("/once/a", "c1").as_bytes()).await.unwrap();
        assert!(!response.is_complete);
        assert!(started.elapsed() < Duration::from_millis(CLOSE_MS), "ended after {:?}", started.elapsed());
    });
}

/// Guards against cutting off a stream whose events arrive slowly, but in time.
#[test]
fn slow_stream_is_not_cut_off() {
    smol::block_on(async {
        let slow = Behaviour::Stream { events: 4, close_after: None, pause_ms: 200 };
        let harness = Harness::start(2, &[slow]).await;
        let response =
            harness.caller().await.round_trip(request("/stream/a", "c1").as_bytes()).await.unwrap();
        assert_eq!((response.status, response.is_complete, harness.received()), (200, true, 1));
    });
}
