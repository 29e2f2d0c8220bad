//! Invalid requests are rejected with a clear error and never reach an agent.

use serde_json::Value;
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::{
    fake_agent::Action,
    harness::{Harness, chat_body},
};

const CHAT: &str = "POST /v1/chat/completions";
const WORKSPACE: &str = "Fuchsiabay-Workspace: gate\r\n";
const KEY: &str = "Idempotency-Key: 018f3c5e-7b1a-7c3d-8e4f-0123456789ab\r\n";

fn check(request_line: &str, headers: &str, body: &str, status: u16) {
    smol::block_on(async {
        let harness = Harness::start(&[]).await;
        let response = harness.request(request_line, headers, body).await;
        assert_eq!(response.status, status, "{response:?}");
        assert_eq!(response.header("fuchsiabay-verdict"), Some("not-run"));
        let problem: Value = serde_json::from_str(&response.body).expect("the body is a problem");
        assert_eq!(problem["verdict"], "not-run");
        assert_eq!(problem["status"], status);
        assert_eq!(response.header("content-type"), Some("application/problem+json"));
        assert!(harness.script.submissions.lock().is_empty());
    });
}

macro_rules! cases {
    ($($name:ident: $line:expr, $headers:expr, $body:expr => $status:expr;)+) => {
        $(#[test] fn $name() { check($line, &$headers, &$body, $status); })+
    };
}

// Each of these requests must be rejected before an agent receives it, with a status that tells the caller not to
// retry.
cases! {
    no_workspace: CHAT, "", chat_body(false) => 400;
    unknown_workspace: CHAT, "Fuchsiabay-Workspace: nobody\r\n", chat_body(false) => 403;
    deadline_not_a_number: CHAT, format!("{WORKSPACE}Fuchsiabay-Deadline-Ms: soon\r\n"), chat_body(false) => 400;
    deadline_zero: CHAT, format!("{WORKSPACE}Fuchsiabay-Deadline-Ms: 0\r\n"), chat_body(false) => 400;
    not_json: CHAT, WORKSPACE, "{" => 400;
    lone_surrogate: CHAT, WORKSPACE, r#"{"model":"\ud800","messages":[]}"# => 400;
    no_messages: CHAT, WORKSPACE, r#"{"model":"assistant","messages":[]}"# => 400;
    unknown_role: CHAT, WORKSPACE, r#"{"model":"assistant","messages":[{"role":"x","content":""}]}"# => 400;
    image: CHAT, WORKSPACE,
        r#"{"model":"assistant","messages":[{"role":"user","content":[{"type":"image_url"}]}]}"# => 400;
    two_choices: CHAT, WORKSPACE,
        r#"{"model":"assistant","n":2,"messages":[{"role":"user","content":""}]}"# => 400;
    too_many_tokens: CHAT, WORKSPACE,
        r#"{"model":"assistant","max_tokens":101,"messages":[{"role":"user","content":""}]}"# => 400;
    no_tokens: CHAT, WORKSPACE,
        r#"{"model":"assistant","max_tokens":0,"messages":[{"role":"user","content":""}]}"# => 400;
    unknown_model: CHAT, WORKSPACE, r#"{"model":"x","messages":[{"role":"user","content":""}]}"# => 404;
    plain_service_as_model: CHAT, WORKSPACE,
        r#"{"model":"booking","messages":[{"role":"user","content":""}]}"# => 404;
    wrong_method: "GET /v1/chat/completions", WORKSPACE, "" => 405;
    body_too_large: CHAT, WORKSPACE, "x".repeat(3000) => 413;
    too_many_headers: CHAT, (0..30).map(|n| format!("X-{n}: y\r\n")).collect::<String>() + WORKSPACE, "" => 431;
    unknown_route: "GET /secrets", WORKSPACE, "" => 404;
    wrong_method_of_route: "DELETE /lots/release", WORKSPACE, "" => 404;
    dot_segments: "GET /lots/../lots/release", WORKSPACE, "" => 400;
    encoded_dot_segments: "GET /lots/%2E%2e/lots/release", WORKSPACE, "" => 400;
    lot_release_without_key: "POST /lots/release", WORKSPACE, "{}" => 400;
    key_version_4: "POST /lots/release",
        format!("{WORKSPACE}Idempotency-Key: 9b2c1f6e-3d4a-4b5c-8d7e-0123456789ab\r\n"), "{}" => 400;
    key_garbage: "POST /lots/release", format!("{WORKSPACE}Idempotency-Key: 42\r\n"), "{}" => 400;
    key_without_workspace: "POST /lots/release", KEY, "{}" => 400;
}

// A request above the limit of its workspace must be told when to retry.
#[test]
fn workspace_above_its_limit() {
    smol::block_on(async {
        let harness = Harness::start(&[Action::Hang]).await;
        let headers = "Fuchsiabay-Workspace: limited\r\n";
        let _first = harness.send(CHAT, headers, &chat_body(false)).await;
        harness.wait_until(|harness| !harness.script.submissions.lock().is_empty()).await;
        let second = harness.request(CHAT, headers, &chat_body(false)).await;
        assert_eq!(second.status, 429, "{second:?}");
        assert!(second.header("retry-after").is_some());
    });
}

// Callers that never complete their request heads must not exhaust the connection limit.
fn check_slow_head(bytes: &[u8]) {
    smol::block_on(async {
        let harness = Harness::with_head_timeout(&[], 50).await;
        let mut socket = TcpStream::connect(harness.addr).await.unwrap();
        socket.write_all(bytes).await.unwrap();
        // If the connection stays open, the test hangs here.
        let mut rest = Vec::new();
        let _ = socket.read_to_end(&mut rest).await;
        assert!(harness.script.submissions.lock().is_empty());
    });
}

macro_rules! slow_heads {
    ($($name:ident: $bytes:expr;)+) => { $(#[test] fn $name() { check_slow_head($bytes); })+ };
}

slow_heads! {
    silent_connection: b"";
    unfinished_line: b"POST /v1/chat";
    unfinished_head: b"POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n";
    http_2_preface: b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
}

// The timeout of a request head must not interrupt a response that takes longer, nor the next request on the
// connection.
#[test]
fn slow_response_is_not_a_slow_head() {
    smol::block_on(async {
        let harness = Harness::with_head_timeout(&[Action::RespondAfter(400), Action::Respond], 250).await;
        let mut socket = TcpStream::connect(harness.addr).await.unwrap();
        for _ in 0..2 {
            let head = format!("GET /lots/17 HTTP/1.1\r\nHost: entry\r\n{WORKSPACE}\r\n");
            socket.write_all(head.as_bytes()).await.unwrap();
            let mut response = Vec::new();
            while !response.ends_with(b"{\"released\":true}") {
                let mut buf = [0; 1024];
                let n = socket.read(&mut buf).await.unwrap();
                assert_ne!(n, 0, "{}", String::from_utf8_lossy(&response));
                response.extend_from_slice(&buf[..n]);
            }
            smol::Timer::after(std::time::Duration::from_millis(400)).await;
        }
    });
}
