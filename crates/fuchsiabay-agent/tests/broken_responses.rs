//! Backend servers that respond before they have read the request, with responses that are incomplete or not valid HTTP.

mod support;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use fuchsiabay_base::Verdict;
use fuchsiabay_settings::BackendKind;
use fuchsiabay_wire::Work;
use support::{Harness, fakes::FakeLog, generate, lot_status};

/// The size of a request body that nearly fills a frame.
const BODY_BYTES: usize = 700_000;

/// The time within which the agent writes what the kernel accepts.
const PAUSE: Duration = Duration::from_millis(60);

const HEALTHY: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// How the backend server ends its response. It has read only the start of the request.
#[derive(Clone, Copy)]
enum End {
    /// Shuts down its write side and closes the connection.
    InOrder,
    /// Closes the connection, which the kernel resets because the request was not read.
    Reset,
}

/// Starts a backend server that passes health probes and responds to every other request with `response`.
fn start_server(response: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut start = [0; 16];
                stream.read_exact(&mut start).unwrap();
                thread::sleep(PAUSE);
                let is_probe = start.starts_with(b"GET /health");
                let response = if is_probe { HEALTHY } else { response };
                let _ = stream.write_all(response.as_bytes());
                if is_probe || matches!(end, End::InOrder) {
                    let _ = stream.shutdown(Shutdown::Write);
                }
            });
        }
    });
    addr
}

/// Calls a plain service. Checks the body of the response, or without one that the call may have run.
fn check_call(response: &'static str, end: End, body: Option<&str>) {
    smol::block_on(async {
        let (_, log) = FakeLog::start().await;
        let harness = Harness::start("agent", BackendKind::Plain, start_server(response, end), log).await;
        let mut req = lot_status();
        let (method, path) = ("POST".to_owned(), "/lots/7".to_owned());
        req.work = Work::Plain { method, path, content_type: String::new(), body: vec![b'x'; BODY_BYTES] };
        let (_, ended) = harness.run(&req).await;
        let expected = if body.is_some() { Verdict::Ran } else { Verdict::MayHaveRun };
        assert_eq!(ended.verdict, expected, "{ended:?}");
        assert_eq!(ended.response.map(|response| response.body).as_deref(), body.map(str::as_bytes));
    });
}

/// Requests a stream with a long prompt. Checks whether it is complete.
fn check_stream(response: &'static str, end: End, verdict: Verdict) {
    smol::block_on(async {
        let (_, log) = FakeLog::start().await;
        let harness = Harness::start("agent", BackendKind::Model, start_server(response, end), log).await;
        let (_, ended) = harness.run(&generate(&"x".repeat(BODY_BYTES))).await;
        assert_eq!(ended.verdict, verdict, "{ended:?}");
    });
}

macro_rules! cases {
    ($check:ident: $($name:ident: $response:literal, $end:ident => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            $check($response, End::$end, $expected);
        })*
    };
}

// Guards against part of a response that is relayed as the whole one, and against losing a response that is complete.
cases! { check_call:
    body_that_ends_in_order_is_relayed: "HTTP/1.1 200 OK\r\n\r\nbody", InOrder => Some("body");
    reset_body_is_not_relayed: "HTTP/1.1 200 OK\r\n\r\nbody", Reset => None;
    reset_chunks_are_not_relayed:
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", Reset => None;
}
cases! { check_stream:
    stream_that_ends_in_order_is_complete:
        "HTTP/1.1 200 OK\r\n\r\ndata: {\"pos\":0,\"text\":\"a\"}\n\ndata: {\"done\":true,\"total\":1}\n\n", InOrder => Verdict::Ran;
    reset_stream_is_not_complete:
        "HTTP/1.1 200 OK\r\n\r\ndata: {\"pos\":0,\"text\":\"a\"}\n\n", Reset => Verdict::MayHaveRun;
}

// Guards against a response that is relayed although it is not valid HTTP.
cases! { check_call:
    status_000_is_not_relayed: "HTTP/1.1 000 S\r\n\r\nbody", InOrder => None;
    status_000_is_no_interim_response: "HTTP/1.1 000 S\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody", InOrder => None;
    status_600_is_not_relayed: "HTTP/1.1 600 S\r\n\r\nbody", InOrder => None;
    name_with_a_blank_is_not_relayed: "HTTP/1.1 200 OK\r\nX Pad: 1\r\n\r\nbody", InOrder => None;
    length_with_a_blank_is_not_relayed: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nbody", InOrder => None;
    name_with_a_control_byte_is_not_relayed: "HTTP/1.1 200 OK\r\nX-\u{1}Pad: 1\r\n\r\nbody", InOrder => None;
}
