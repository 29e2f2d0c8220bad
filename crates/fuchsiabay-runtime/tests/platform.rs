//! The clients of the log and of the instance list against a service that responds, closes the connection, never
//! responds or does not exist.

use std::net::SocketAddr;

use fuchsiabay_runtime::{Instance, InstanceListClient, LogClient, LogError, LogPage, monotonic_now, spawn};
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// What the fake service does after it has read a request.
#[derive(Clone, Copy)]
enum Behaviour {
    /// Sends a response with this status and body.
    Respond(&'static str, &'static str),
    /// Closes the connection without a response.
    CloseConnection,
    /// Keeps the connection open and never responds.
    NeverRespond,
    /// No process listens on the address.
    NotListening,
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Offsets(Vec<u64>),
    NoEffect,
    EffectUnknown,
}

async fn start_fake_service(behaviour: Behaviour) -> SocketAddr {
    if matches!(behaviour, Behaviour::NotListening) {
        // Another test may bind a port that was just free, but connections to port 0 are always refused.
        return "127.0.0.1:0".parse().unwrap();
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn(async move {
        let mut open_streams = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let mut request = Vec::new();
            // The client sends a small request without `Expect: 100-continue`; a POST ends with its JSON body.
            while !(request.starts_with(b"GET") && request.ends_with(b"\r\n\r\n") || request.ends_with(b"}"))
            {
                let n = stream.read(&mut buf).await.unwrap();
                request.extend_from_slice(&buf[..n]);
            }
            match behaviour {
                Behaviour::Respond(status, body) => {
                    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
                    stream.write_all(head.as_bytes()).await.unwrap();
                    stream.write_all(body.as_bytes()).await.unwrap();
                }
                Behaviour::CloseConnection | Behaviour::NotListening => {}
                Behaviour::NeverRespond => open_streams.push(stream),
            }
        }
    })
    .detach();
    addr
}

fn check(behaviour: Behaviour, expected: Outcome) {
    smol::block_on(async {
        let log = LogClient::new(&format!("http://{}/", start_fake_service(behaviour).await));
        // Only a service that never responds makes the call time out, and the outcome does not depend on the timeout.
        let timeout_ms = if matches!(behaviour, Behaviour::NeverRespond) { 300 } else { 60_000 };
        let outcome = match log.append("config", &["a", "b"], monotonic_now().plus_millis(timeout_ms)).await {
            Ok(offsets) => Outcome::Offsets(offsets),
            Err(LogError::NoEffect(_)) => Outcome::NoEffect,
            Err(LogError::EffectUnknown(_)) => Outcome::EffectUnknown,
        };
        assert_eq!(outcome, expected);
    });
}

macro_rules! append_cases {
    ($($name:ident: $behaviour:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            use Behaviour::*;
            check($behaviour, $expected);
        })*
    };
}

// Guards against a call that runs twice because an append that took effect is reported as having had no effect.
append_cases! {
    append_returns_offsets: Respond("200 OK", r#"{"offsets":[7,8]}"#) => Outcome::Offsets(vec![7, 8]);
    client_error_has_no_effect: Respond("413 Too Large", "too large") => Outcome::NoEffect;
    refused_connection_has_no_effect: NotListening => Outcome::NoEffect;
    server_error_leaves_the_effect_unknown: Respond("503 Unavailable", "down") => Outcome::EffectUnknown;
    lost_response_leaves_the_effect_unknown: CloseConnection => Outcome::EffectUnknown;
    timeout_leaves_the_effect_unknown: NeverRespond => Outcome::EffectUnknown;
    malformed_response_leaves_the_effect_unknown: Respond("200 OK", "[}") => Outcome::EffectUnknown;
    missing_offset_leaves_the_effect_unknown: Respond("200 OK", r#"{"offsets":[7]}"#) => Outcome::EffectUnknown;
}

/// Guards against an append that is sent although its deadline has passed.
#[test]
fn append_after_the_deadline_has_no_effect() {
    smol::block_on(async {
        let log = LogClient::new(&format!("http://{}", start_fake_service(Behaviour::CloseConnection).await));
        let error = log.append("config", &["a"], monotonic_now()).await.unwrap_err();
        assert!(matches!(error, LogError::NoEffect(_)), "{error}");
    });
}

#[test]
fn page_is_read() {
    const PAGE: &str = r#"{"first":3,"next":5,"records":[{"offset":4,"at_ms":17,"data":"a"}]}"#;
    smol::block_on(async {
        let addr = start_fake_service(Behaviour::Respond("200 OK", PAGE)).await;
        let log = LogClient::new(&format!("http://{addr}"));
        let page: LogPage<String> = log.read("s", 4, 1, monotonic_now().plus_millis(60_000)).await.unwrap();
        assert_eq!((page.first, page.next), (3, 5));
        assert_eq!((page.records[0].offset, page.records[0].at.as_millis()), (4, 17));
        assert_eq!(page.records[0].data, "a");
    });
}

/// Guards against one entry of an unknown kind that hides all other instances.
#[test]
fn entries_that_cannot_be_parsed_are_skipped() {
    const LIST: &str = r#"{"instances":[{"id":"x","role":"novel"},{"id":"a","role":"agent","zone":"z",
        "service":"booking","peer":"127.0.0.1:9","generation":1,"state":"leaving"}]}"#;
    smol::block_on(async {
        let addr = start_fake_service(Behaviour::Respond("200 OK", LIST)).await;
        let list = InstanceListClient::new(&format!("http://{addr}"));
        let instances = list.fetch(monotonic_now().plus_millis(60_000)).await.unwrap();
        let ids: Vec<_> = instances.iter().map(|Instance { id, .. }| id.as_str()).collect();
        assert_eq!(ids, ["a"]);
    });
}
