//! The response to the caller and the number of attempts for each way in which a backend server can fail.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use support::{Behaviour, Harness};

const OK: Behaviour = Behaviour::Respond("whole");

/// Sends one request on `path` to a service with one server that follows `script`. Checks the status and how many times the
/// server received the request.
async fn check(path: &str, script: &[Behaviour], status: u16, sent: usize) {
    let harness = Harness::start(1, script).await;
    check_at(&harness, path, status, sent).await;
}

/// Sends one request on a safe route to two servers. The first attempt gets `failure`, the second one succeeds.
async fn check_retried(failure: Behaviour) {
    let harness = Harness::start(2, &[failure, OK]).await;
    check_at(&harness, "/safe/a", 200, 2).await;
}

async fn request_status(harness: &Harness, path: &str) -> u16 {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\nX-Left: 900\r\n\r\n"
    );
    let response = harness.caller().await.round_trip(request.as_bytes()).await;
    response.map_or(0, |response| response.status)
}

async fn check_at(harness: &Harness, path: &str, status: u16, sent: usize) {
    let got = request_status(harness, path).await;
    assert_eq!((got, harness.received()), (status, sent));
}

cases! { check:
    /// Guards against a successful response that is lost or changed.
    response_is_relayed("/unsafe/a", &[OK], 200, 1);
    /// Guards against running an unsafe request twice, and against telling the caller that it did not run.
    unsafe_request_is_not_retried_after_lost_connection("/unsafe/a", &[Behaviour::Reset, OK], 502, 1);
    unsafe_request_is_not_retried_after_invalid_response("/unsafe/a", &[Behaviour::InvalidResponse, OK], 502, 1);
    unsafe_request_is_not_retried_after_truncated_response("/unsafe/a", &[Behaviour::Truncated, OK], 502, 1);
    response_to_another_request_is_not_relayed("/unsafe/a", &[Behaviour::WrongRequestId, OK], 502, 1);
    success_without_stamp_is_not_relayed("/unsafe/a", &[Behaviour::NoStamp, OK], 502, 1);
    /// Guards against replacing a server's error status by another one.
    server_error_of_unsafe_request_is_relayed("/unsafe/a", &[Behaviour::Status(500), OK], 500, 1);
    /// Guards against a 502 for a request that provably did not run.
    full_server_yields_503("/unsafe/a", &[Behaviour::Full, OK], 503, 1);
    /// Guards against reading past the end of a response.
    second_response_is_ignored("/unsafe/a", &[Behaviour::TwoResponses, OK], 200, 1);
    /// Guards against rejecting a body that ends when the connection is closed.
    response_without_framing_is_relayed("/unsafe/a", &[Behaviour::NoFraming], 200, 1);
    /// Guards against running a non-resumable stream twice.
    non_resumable_stream_is_not_retried_after_lost_connection("/once/a", &[Behaviour::Reset, OK], 502, 1);
}

cases! { check_retried:
    /// Guards against failing an idempotent request while another server is available.
    safe_request_is_retried_after_lost_connection(Behaviour::Reset);
    safe_request_is_retried_after_invalid_response(Behaviour::InvalidResponse);
    safe_request_is_retried_after_truncated_response(Behaviour::Truncated);
    safe_request_is_retried_after_response_to_another_request(Behaviour::WrongRequestId);
    safe_request_is_retried_after_server_error(Behaviour::Status(500));
    safe_request_is_retried_after_misdirected(Behaviour::Misdirected);
    safe_request_is_retried_after_full_server(Behaviour::Full);
    slow_safe_request_is_moved(Behaviour::Slow(5_000));
}

/// Guards against a caller of a slow server that waits past the route's timeout.
#[test]
fn slow_server_yields_504_at_the_timeout() {
    smol::block_on(async {
        let harness = Harness::start(1, &[Behaviour::Slow(5_000)]).await;
        let started = std::time::Instant::now();
        check_at(&harness, "/unsafe/a", 504, 1).await;
        assert!(started.elapsed().as_millis() < 1_400, "response after {:?}", started.elapsed());
    });
}

/// Guards against a request that keeps running after its caller disconnected.
#[test]
fn caller_disconnect_cancels_the_request() {
    smol::block_on(async {
        let harness = Harness::start(1, &[Behaviour::Slow(5_000)]).await;
        let mut caller = harness.caller().await;
        caller
            .send(b"GET /safe/a HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\n\r\n")
            .await;
        while harness.received() == 0 {
            smol::Timer::after(std::time::Duration::from_millis(5)).await;
        }
        drop(caller);
        smol::Timer::after(std::time::Duration::from_millis(450)).await;
        assert_eq!(harness.servers[0].cancelled(), 1);
    });
}
