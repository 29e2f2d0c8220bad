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

/// The lengths of the field names that are tried. Parsers that compare several bytes at a time have other paths for long names.
const NAME_LENS: [usize; 6] = [1, 7, 8, 16, 33, 70];

async fn call(response: String) -> Result<CallResponse, CallError> {
    let script = [Behaviour::Raw(response.leak())].into();
    let server = FakeServer::start(Arc::new(Mutex::new(script))).await;
    HttpClient::new(server.addr).get("/", monotonic_now().plus_millis(CALL_TIMEOUT_MS)).await
}

/// Calls a server, which responds with a head that contains the line `line`.
async fn call_with_line(line: &str) -> Result<CallResponse, CallError> {
    call(format!("HTTP/1.1 200 OK\r\n{line}\r\nContent-Length: 4\r\n\r\nbody")).await
}

/// Checks that callers on an unsafe route and of a stream do not receive `response`, and that one on a safe route receives that of
/// another server.
async fn check_rejected(response: &'static str) {
    let harness = Harness::start(1, &[Behaviour::Raw(response)]).await;
    assert_eq!(harness.get_status("/unsafe/a", "c1").await, 502);
    let harness = Harness::start(1, &[Behaviour::Raw(response)]).await;
    assert_eq!(harness.get_status("/once/a", "c1").await, 502);
    let harness = Harness::start(2, &[Behaviour::Raw(response), Behaviour::Respond("whole")]).await;
    assert_eq!(harness.get_status("/safe/a", "c1").await, 200);
    assert_eq!(harness.received(), 2);
}

// Guards against a response that is relayed although it is not valid HTTP.
cases! { check_rejected:
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
    name_with_a_blank_is_not_relayed(
        "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nX Pad: 1\r\nContent-Length: 4\r\n\r\nfail");
    name_with_a_control_byte_is_not_relayed(
        "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nX-\u{1}Pad: 1\r\nContent-Length: 4\r\n\r\nfail");
    length_with_a_blank_is_not_relayed(
        "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Length : 4\r\n\r\nfail and more");
    coding_with_a_control_byte_is_not_relayed(
        "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nTransfer-Encoding\u{0}: chunked\r\n\r\n4\r\nfail\r\n0\r\n\r\n");
    continued_line_is_not_relayed(
        "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nX-Pad: 1\r\n 2: 3\r\nContent-Length: 4\r\n\r\nfail");
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

/// Guards against rejecting status codes that are valid, with or without a registered meaning.
#[test]
fn every_valid_status_is_accepted() {
    smol::block_on(async {
        for status in 200..=599 {
            let response = call(format!("HTTP/1.1 {status} S\r\nContent-Length: 0\r\n\r\n")).await;
            assert_eq!(response.expect("a valid response").status, status);
        }
    });
}

/// Guards against losing a response that follows an interim one.
#[test]
fn interim_responses_are_skipped() {
    smol::block_on(async {
        for status in 100..=199 {
            let response =
                call(format!("HTTP/1.1 {status} S\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"));
            assert_eq!(response.await.expect("a valid response").body, b"body", "{status}");
        }
    });
}

/// Guards against a field whose name is not a token, for each byte, at the start, in the middle and at the end of the name.
#[test]
fn only_tokens_are_field_names() {
    smol::block_on(async {
        for byte in (0..128).map(char::from).chain(['é']) {
            for len in NAME_LENS {
                for at in [0, len / 2, len] {
                    let name = format!("{}{byte}{}", "x".repeat(at), "x".repeat(len - at));
                    let response = call_with_line(&format!("{name}: 1")).await;
                    let is_token = byte.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(byte);
                    // The part before a colon is the name.
                    let is_valid = is_token || byte == ':' && at > 0;
                    assert_eq!(response.is_ok(), is_valid, "{name:?}: {response:?}");
                }
            }
        }
    });
}
