//! Forwarding of accepted requests to servers, and rejection of invalid and unauthorized ones.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use support::{Behaviour, Harness};

const OK: Behaviour = Behaviour::Respond("whole");

/// Sends `request` and checks the status, the reason, and whether the connection stays open afterwards.
async fn check(request: &str, status: u16, reason: &str, stays_open: bool) {
    let harness = Harness::start(1, &[OK]).await;
    let mut caller = harness.caller().await;
    let response = caller.round_trip(request.as_bytes()).await.expect("every request gets a response");
    let body = String::from_utf8(response.body.clone()).unwrap();
    assert_eq!(response.status, status, "{body}");
    assert!(body.contains(reason), "{body}");
    assert_eq!(caller.is_closed_within(200).await, !stays_open);
    if status != 200 {
        assert_eq!(harness.received(), 0, "a rejected request reached a server");
    }
}

const HEAD: &str = "Host: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\n";

fn request_with(line: &str, rest: &str) -> String {
    format!("{line}\r\n{HEAD}{rest}")
}

cases! { check:
    known_route_and_key(&request_with("GET /safe/a HTTP/1.1", "\r\n"), 200, "whole", true);
    body_with_length(&request_with("POST /safe/a HTTP/1.1", "Content-Length: 3\r\n\r\nabc"), 200, "whole", true);
    body_in_chunks(&request_with("POST /safe/a HTTP/1.1", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 200, "whole", true);
    connection_close_is_honoured(&request_with("GET /safe/a HTTP/1.1", "Connection: close\r\n\r\n"), 200, "whole", false);
    /// Guards against serving requests that the configuration does not allow.
    unknown_path(&request_with("GET /other/a HTTP/1.1", "\r\n"), 404, "no_route", true);
    unknown_host("GET /safe/a HTTP/1.1\r\nHost: other.example\r\nX-Call: c1\r\n\r\n", 404, "no_route", true);
    missing_key("GET /safe/a HTTP/1.1\r\nHost: h.example\r\nX-Call: c1\r\n\r\n", 401, "unknown_key", true);
    unknown_key("GET /safe/a HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer x\r\nX-Call: c1\r\n\r\n", 401, "unknown_key", true);
    /// Guards against request smuggling.
    two_lengths(&request_with("POST /safe/a HTTP/1.1", "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"), 400, "ambiguous_length", false);
    length_and_chunks(&request_with("POST /safe/a HTTP/1.1", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"), 400, "ambiguous_length", false);
    length_with_sign(&request_with("POST /safe/a HTTP/1.1", "Content-Length: +3\r\n\r\nabc"), 400, "ambiguous_length", false);
    unknown_coding(&request_with("POST /safe/a HTTP/1.1", "Transfer-Encoding: gzip, chunked\r\n\r\n"), 400, "unknown_coding", false);
    folded_header(&request_with("GET /safe/a HTTP/1.1", "X-A: 1\r\n folded: 2\r\n\r\n"), 400, "malformed_head", false);
    bare_line_feed("GET /safe/a HTTP/1.1\nHost: h.example\n\n", 400, "malformed_head", false);
    space_before_colon(&request_with("GET /safe/a HTTP/1.1", "X-Workspace : x\r\n\r\n"), 400, "malformed_head", false);
    two_hosts(&request_with("GET /safe/a HTTP/1.1", "Host: other.example\r\n\r\n"), 400, "malformed_head", false);
    malformed_chunk(&request_with("POST /safe/a HTTP/1.1", "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"), 400, "malformed_body", false);
    /// Guards against buffering more, or waiting longer, than the limits allow.
    large_head(&request_with("GET /safe/a HTTP/1.1", &format!("X-A: {}\r\n\r\n", "a".repeat(4_000))), 431, "head_too_large", false);
    large_body(&request_with("POST /safe/a HTTP/1.1", "Content-Length: 100001\r\n\r\n"), 413, "body_too_large", false);
    slow_head("GET /safe/a HTTP/1.1\r\nHost:", 408, "slow_head", false);
    slow_body(&request_with("POST /safe/a HTTP/1.1", "X-Left: 200\r\nContent-Length: 3\r\n\r\na"), 408, "slow_body", false);
}

/// Guards against a request that is changed in transit, a key that is sent to a server, and a workspace that the caller
/// sets itself.
#[test]
fn request_is_forwarded_unchanged() {
    smol::block_on(async {
        let harness = Harness::start(1, &[OK]).await;
        let request = "POST /safe/a?b=%20c HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\n\
            x-workspace: other\r\nX-Server: other\r\nX-Tokens: 3,4\r\nX-Model: m\r\nX-Parts: a:1,b:2\r\nX-Left: 800\r\n\
            Connection: keep-alive, X-Tokens, X-Model, X-Parts, X-Hop\r\n\
            X-Hop: 1\r\nX-Kept: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;ext=1\r\nc\r\n0\r\nTrailer: 1\r\n\r\n";
        let response = harness.caller().await.round_trip(request.as_bytes()).await.unwrap();
        assert_eq!((response.status, response.header("x-stamp").as_deref()), (200, Some("s")));
        let received = &harness.servers[0].received()[0];
        assert!(received.head.starts_with("POST /safe/a?b=%20c HTTP/1.1\r\n"), "{}", received.head);
        assert_eq!(received.body, b"abc");
        let expected = [
            ("host", Some("h.example")),
            ("x-call", Some("c1")),
            ("x-workspace", Some("w")),
            ("x-server", Some("i-0")),
            ("x-tokens", Some("3,4")),
            ("x-model", Some("m")),
            ("x-parts", Some("a:1,b:2")),
            ("x-kept", Some("2")),
            ("x-hop", None),
            ("authorization", None),
            ("transfer-encoding", None),
            ("content-length", Some("3")),
        ];
        for (name, value) in expected {
            assert_eq!(received.header(name).as_deref(), value, "{name}");
        }
        assert_eq!(received.head.to_ascii_lowercase().matches("x-workspace").count(), 1);
        let left: u64 = received.header("x-left").unwrap().parse().unwrap();
        assert!((700..=800).contains(&left), "{left}");
    });
}

/// Guards against opening a backend connection for each request.
#[test]
fn backend_connections_are_reused() {
    smol::block_on(async {
        let harness = Harness::start(1, &[OK]).await;
        let mut caller = harness.caller().await;
        for _ in 0..5 {
            let response =
                caller.round_trip(request_with("GET /safe/a HTTP/1.1", "\r\n").as_bytes()).await.unwrap();
            assert_eq!(response.status, 200);
        }
        assert_eq!(harness.servers[0].connections(), 1);
    });
}

/// Guards against pipelined requests that get each other's responses.
#[test]
fn pipelined_requests_are_served_in_order() {
    smol::block_on(async {
        let harness = Harness::start(1, &[Behaviour::Respond("first"), Behaviour::Respond("second")]).await;
        let mut caller = harness.caller().await;
        let two =
            [request_with("GET /unsafe/1 HTTP/1.1", "\r\n"), request_with("GET /unsafe/2 HTTP/1.1", "\r\n")]
                .concat();
        let first = caller.round_trip(two.as_bytes()).await.unwrap();
        let second = caller.receive().await.unwrap();
        assert_eq!((first.body.as_slice(), second.body.as_slice()), (&b"first"[..], &b"second"[..]));
    });
}

/// Guards against closing idle connections before the idle timeout, while callers may still use them.
#[test]
fn idle_connections_are_closed_at_the_timeout() {
    smol::block_on(async {
        let harness = Harness::start(1, &[OK]).await;
        let mut caller = harness.caller().await;
        assert!(!caller.is_closed_within(480).await);
        assert!(caller.is_closed_within(400).await);
    });
}
