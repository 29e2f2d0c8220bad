//! Response heads that are not valid HTTP.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use std::sync::{Arc, Mutex};

use fuchsiabay_gateway::{CallError, CallResponse, HttpClient};
use fuchsiabay_runtime::monotonic_now;
use support::{Behaviour, FakeServer, Harness};

/// The timeout of a call, in milliseconds. It passes only if something hangs.
const CALL_TIMEOUT_MS: u64 = 10_000;

async fn call(response: String) -> Result<CallResponse, CallError> {
    let script = [Behaviour::Raw(response.leak())].into();
    let server = FakeServer::start(Arc::new(Mutex::new(script))).await;
    HttpClient::new(server.addr).get("/", monotonic_now().plus_millis(CALL_TIMEOUT_MS)).await
}

/// Checks that a caller on an unsafe route does not receive `response`, and that one on a safe route receives the response of
/// another server.
async fn check_relayed(response: &'static str) {
    let harness = Harness::start(1, &[Behaviour::Raw(response)]).await;
    assert_eq!(status(&harness, "/unsafe/a").await, 502);
    let harness = Harness::start(1, &[Behaviour::Raw(response)]).await;
    assert_eq!(status(&harness, "/once/a").await, 502);
    let harness = Harness::start(2, &[Behaviour::Raw(response), Behaviour::Respond("whole")]).await;
    assert_eq!(status(&harness, "/safe/a").await, 200);
    assert_eq!(harness.received(), 2);
}

async fn status(harness: &Harness, path: &str) -> u16 {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\nX-Left: 900\r\n\r\n"
    );
    let response = harness.caller().await.round_trip(request.as_bytes()).await;
    response.map_or(0, |response| response.status)
}

// Guards against a response that is relayed although it is not valid HTTP.
cases! { check_relayed:
    status_000_is_not_relayed(
        "HTTP/1.1 000 S\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\nfail");
    status_000_is_no_interim_response(
        "HTTP/1.1 000 S\r\nX-Call: {id}\r\n\r\nHTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\nfail");
    status_099_is_no_interim_response(
        "HTTP/1.1 099 S\r\n\r\nHTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\nfail");
    status_600_is_not_relayed(
        "HTTP/1.1 600 S\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\nfail");
    status_999_is_not_relayed(
        "HTTP/1.1 999 S\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\nfail");
}

/// Guards against a response to an own call that is taken as valid although its status is outside 100 to 599.
#[test]
fn invalid_status_fails_a_call() {
    smol::block_on(async {
        for status in ["000", "001", "099", "600", "999", "-20", "2 0", "20", "2000"] {
            let response = call(format!("HTTP/1.1 {status} S\r\nContent-Length: 4\r\n\r\nbody")).await;
            assert!(matches!(response, Err(CallError::Malformed(_))), "{status}: {response:?}");
        }
    });
}

/// Guards against rejecting status codes that are valid but have no registered meaning.
#[test]
fn unregistered_status_is_accepted() {
    smol::block_on(async {
        for status in [200, 299, 418, 599] {
            let response = call(format!("HTTP/1.1 {status} S\r\nContent-Length: 4\r\n\r\nbody")).await;
            assert_eq!(response.expect("a valid response").status, status);
        }
    });
}
