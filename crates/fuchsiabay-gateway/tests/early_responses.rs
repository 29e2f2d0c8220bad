//! Servers that respond while the request is still being written, with a body that ends with the connection.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use std::sync::{Arc, Mutex};

use fuchsiabay_balancer::ServingConfig;
use fuchsiabay_gateway::{CallError, CallResponse, HttpClient};
use fuchsiabay_runtime::monotonic_now;
use support::{Behaviour, EarlyEnd, EarlyResponse, FakeServer, Harness, harness, platform::FakePlatform};

/// More than the kernel buffers for a server that does not read, so that the request is still being written.
const UPLOAD_BYTES: usize = 8 << 20;

/// More than the kernel of a server holds that does not read, and less than the two kernels hold together. The whole request is
/// written at once, and part of it waits in the kernel of the gateway.
const BUFFERED_UPLOAD_BYTES: usize = 1 << 20;

/// The timeout of a request, in milliseconds. It passes only if something hangs.
const REQUEST_TIMEOUT_MS: u64 = 10_000;

/// How often each case is tried. Whether the end of a connection is seen first by the reader or by the writer depends on timing.
const ROUNDS: usize = 10;

const BODY: &str = "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\n\r\nthe body";
const EVENTS: &str = "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: e1\n\n";

async fn start(servers: usize, script: &[Behaviour]) -> Harness {
    let mut config: ServingConfig = harness::config(1);
    config.limits.max_body_bytes = UPLOAD_BYTES;
    for route in &mut config.routes {
        route.timeout_ms = REQUEST_TIMEOUT_MS;
    }
    Harness::start_on(FakePlatform::default(), config, servers, script).await
}

/// Uploads a body. Returns the status and the body of the response that the caller takes as complete, if any.
async fn upload(harness: &Harness, path: &str, body_bytes: usize) -> Option<(u16, String)> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\nX-Left: {REQUEST_TIMEOUT_MS}\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body_bytes, b'x');
    let response = harness.caller().await.round_trip(&bytes).await?;
    let body = String::from_utf8(response.body).expect("the body is UTF-8");
    response.is_complete.then_some((response.status, body))
}

/// Checks that the caller takes no part of a response that was reset as complete.
async fn check_reset(path: &str, bytes: &'static str, end: EarlyEnd) {
    for round in 0..ROUNDS {
        let reset = Behaviour::Early(EarlyResponse { bytes, end });
        let harness = start(1, &[reset]).await;
        let response = upload(&harness, path, UPLOAD_BYTES).await;
        assert!(response.as_ref().is_none_or(|(status, _)| *status == 502), "round {round}: {response:?}");
        assert_eq!(harness.received(), 1);
    }
}

// Guards against part of a body that the caller takes as the whole one, because the reset was reported to the writer and the
// reader then saw the end of the connection.
cases! { check_reset:
    reset_body_is_not_relayed_as_complete("/unsafe/a", BODY, EarlyEnd::Reset);
    body_that_is_reset_later_is_not_relayed("/unsafe/a", BODY, EarlyEnd::LateReset);
    reset_stream_is_not_relayed_as_complete("/once/a", EVENTS, EarlyEnd::Reset);
    stream_that_is_reset_later_is_not_relayed_as_complete("/once/a", EVENTS, EarlyEnd::LateReset);
}

/// Guards against failing a safe request although another server can run it.
#[test]
fn safe_request_is_retried_after_a_reset_response() {
    smol::block_on(async {
        let reset = Behaviour::Early(EarlyResponse { bytes: BODY, end: EarlyEnd::Reset });
        let harness = start(2, &[reset, Behaviour::Respond("whole")]).await;
        assert_eq!(upload(&harness, "/safe/a", UPLOAD_BYTES).await, Some((200, "whole".to_owned())));
        assert_eq!(harness.received(), 2);
    });
}

/// Checks that the caller receives the whole response.
async fn check_complete(path: &str, bytes: &'static str, end: EarlyEnd) {
    for _ in 0..ROUNDS {
        check_complete_once(path, bytes, end, UPLOAD_BYTES).await;
    }
}

async fn check_complete_once(path: &str, bytes: &'static str, end: EarlyEnd, body_bytes: usize) {
    let body = bytes.split_once("\r\n\r\n").unwrap().1;
    let harness = start(1, &[Behaviour::Early(EarlyResponse { bytes, end })]).await;
    assert_eq!(upload(&harness, path, body_bytes).await, Some((200, body.to_owned())));
}

// Guards against rejecting a response that the server has ended in order. What it does with the rest of the request, and with
// the connection, does not change that.
cases! { check_complete:
    body_that_ends_in_order_is_relayed("/unsafe/a", BODY, EarlyEnd::ShutDown);
    body_that_ends_after_the_upload_is_relayed("/unsafe/a", BODY, EarlyEnd::ShutDownAfterUpload);
    body_that_ends_before_a_reset_is_relayed("/unsafe/a", BODY, EarlyEnd::ShutDownAndClose);
    stream_that_ends_in_order_is_relayed("/once/a", EVENTS, EarlyEnd::ShutDown);
    stream_that_ends_after_the_upload_is_relayed("/once/a", EVENTS, EarlyEnd::ShutDownAfterUpload);
    stream_that_ends_before_a_reset_is_relayed("/once/a", EVENTS, EarlyEnd::ShutDownAndClose);
}

// Guards against closing the connection of a server that is responding, because it does not read the request meanwhile.
cases! { check_complete_once:
    slow_body_is_relayed_while_the_upload_stalls("/unsafe/a", BODY, EarlyEnd::SlowShutDown, UPLOAD_BYTES);
    slow_body_is_relayed_while_the_kernel_holds_the_upload("/unsafe/a", BODY, EarlyEnd::SlowShutDown, BUFFERED_UPLOAD_BYTES);
    slow_stream_is_relayed_while_the_upload_stalls("/once/a", EVENTS, EarlyEnd::SlowShutDown, UPLOAD_BYTES);
}

/// Sends a long body in a call of the gateway itself.
async fn call(end: EarlyEnd) -> Result<CallResponse, CallError> {
    let script = [Behaviour::Early(EarlyResponse { bytes: BODY, end })].into();
    let server = FakeServer::start(Arc::new(Mutex::new(script))).await;
    let deadline = monotonic_now().plus_millis(REQUEST_TIMEOUT_MS);
    HttpClient::new(server.addr).post("/", "text/plain", &vec![b'x'; UPLOAD_BYTES], deadline).await
}

async fn check_failed_call(end: EarlyEnd) {
    for round in 0..ROUNDS {
        let response = call(end).await;
        assert!(matches!(response, Err(CallError::Io(_))), "round {round}: {response:?}");
    }
}

async fn check_complete_call(end: EarlyEnd) {
    for round in 0..ROUNDS {
        let response = call(end).await.map(|response| response.body);
        assert!(matches!(response.as_deref(), Ok(b"the body")), "round {round}: {response:?}");
    }
}

// Guards against part of a response that is taken as the whole response to an own call.
cases! { check_failed_call:
    reset_response_fails_a_call(EarlyEnd::Reset);
    response_that_is_reset_later_fails_a_call(EarlyEnd::LateReset);
}

// Guards against losing the response to an own call, because its server has not read the whole request.
cases! { check_complete_call:
    response_that_ends_in_order_completes_a_call(EarlyEnd::ShutDown);
    response_that_ends_before_a_reset_completes_a_call(EarlyEnd::ShutDownAndClose);
    response_that_ends_after_the_upload_completes_a_call(EarlyEnd::ShutDownAfterUpload);
}
