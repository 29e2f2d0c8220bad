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

async fn check_at(harness: &Harness, path: &str, status: u16, sent: usize) {
    let got = harness.get_status(path, "c1").await;
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

const OTHER_REFUSAL: Behaviour =
    Behaviour::Raw("HTTP/1.1 503 S\r\nX-Call: c0\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
const OTHER_LIMIT: Behaviour =
    Behaviour::Raw("HTTP/1.1 429 S\r\nX-Call: c0\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
const OTHER_MISDIRECTED: Behaviour =
    Behaviour::Raw("HTTP/1.1 421 S\r\nX-Call: c0\r\nContent-Length: 0\r\n\r\n");

/// Sends a request on `path` over the kept connection of an earlier one, on which the server sends `copy` instead of a response.
/// The request may be running, so the caller must not be told that it did not run, and no other server may get it.
async fn check_copy(path: &str, copy: Behaviour) {
    let harness = Harness::start(2, &[OK, copy, OK]).await;
    check_at(&harness, path, 200, 1).await;
    check_at(&harness, path, 502, 2).await;
}

// Guards against a late copy of an earlier refusal that is taken for the response to the next request on the connection.
cases! { check_copy:
    copied_refusal_does_not_refuse_another_request("/unsafe/a", OTHER_REFUSAL);
    copied_limit_does_not_refuse_another_request("/unsafe/a", OTHER_LIMIT);
    copied_misdirection_does_not_move_another_request("/unsafe/a", OTHER_MISDIRECTED);
}

cases! { check:
    // Guards against telling the caller of a request that ran that it did not run, in the server's own words.
    error_503_of_an_unsafe_request_is_no_refusal("/unsafe/a", &[Behaviour::Status(503), OK], 502, 1);
    error_429_of_an_unsafe_request_is_no_refusal("/unsafe/a", &[Behaviour::Status(429), OK], 502, 1);
    error_408_of_an_unsafe_request_is_no_refusal("/unsafe/a", &[Behaviour::Status(408), OK], 502, 1);
    error_503_of_a_stream_is_no_refusal("/once/a", &[Behaviour::Status(503), OK], 502, 1);
    // Guards against a success that is made of the head that a server did not complete.
    response_cut_in_the_status_line_is_not_relayed("/unsafe/a", &[Behaviour::Raw("HTTP/1.1 200 OK")], 502, 1);
    response_cut_after_the_status_line_is_not_relayed("/unsafe/a", &[Behaviour::Raw("HTTP/1.1 200 OK\r\n")], 502, 1);
    response_cut_in_a_field_is_not_relayed(
        "/unsafe/a", &[Behaviour::Raw("HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s")], 502, 1);
    response_cut_after_a_field_is_not_relayed(
        "/unsafe/a", &[Behaviour::Raw("HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\n")], 502, 1);
    response_cut_before_the_last_line_feed_is_not_relayed(
        "/unsafe/a", &[Behaviour::Raw("HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\n\r")], 502, 1);
    stream_cut_in_the_head_is_not_relayed(
        "/once/a", &[Behaviour::Raw("HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\n")], 502, 1);
    safe_response_cut_in_the_head_is_not_relayed(
        "/safe/a", &[Behaviour::Raw("HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\n")], 502, 1);
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
