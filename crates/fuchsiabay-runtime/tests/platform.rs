//! What the clients of the log and the list make of a service that answers, refuses, breaks off or is silent.

use std::net::SocketAddr;

use fuchsiabay_runtime::{Instance, InstanceListClient, LogClient, LogError, LogPage, monotonic_now, spawn};
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// What the stand-in does after it has read a request.
#[derive(Clone, Copy)]
enum Behaviour {
    Answer(&'static str, &'static str),
    BreakOff,
    Silence,
    /// No process ever listens on the address.
    Absence,
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Offsets(Vec<u64>),
    NoEffect,
    EffectUnknown,
}

async fn stand_in(behaviour: Behaviour) -> SocketAddr {
    if matches!(behaviour, Behaviour::Absence) {
        // A port that was free a moment ago may be taken by another test; port 0 never is.
        return "127.0.0.1:0".parse().unwrap();
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn(async move {
        let mut held = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let mut seen = Vec::new();
            // The client sends its small requests in one go; a POST ends with its JSON body.
            while !(seen.starts_with(b"GET") && seen.ends_with(b"\r\n\r\n") || seen.ends_with(b"}")) {
                let n = stream.read(&mut buf).await.unwrap();
                seen.extend_from_slice(&buf[..n]);
            }
            match behaviour {
                Behaviour::Answer(status, body) => {
                    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
                    stream.write_all(head.as_bytes()).await.unwrap();
                    stream.write_all(body.as_bytes()).await.unwrap();
                }
                Behaviour::BreakOff | Behaviour::Absence => {}
                Behaviour::Silence => held.push(stream),
            }
        }
    })
    .detach();
    addr
}

fn check(behaviour: Behaviour, expected: Outcome) {
    smol::block_on(async {
        let log = LogClient::new(&format!("http://{}/", stand_in(behaviour).await));
        // Only the silent service is waited for, and the outcome does not depend on how long.
        let patience_ms = if matches!(behaviour, Behaviour::Silence) { 300 } else { 60_000 };
        let outcome = match log.append("config", &["a", "b"], monotonic_now().plus_millis(patience_ms)).await
        {
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

// An append that took effect but is reported as without effect would let a second run of a call begin.
append_cases! {
    appends_and_returns_offsets: Answer("200 OK", r#"{"offsets":[7,8]}"#) => Outcome::Offsets(vec![7, 8]);
    refusal_has_no_effect: Answer("413 Too Large", "too large") => Outcome::NoEffect;
    refused_connection_has_no_effect: Absence => Outcome::NoEffect;
    server_error_leaves_the_effect_unknown: Answer("503 Unavailable", "down") => Outcome::EffectUnknown;
    lost_response_leaves_the_effect_unknown: BreakOff => Outcome::EffectUnknown;
    silence_leaves_the_effect_unknown: Silence => Outcome::EffectUnknown;
    garbage_leaves_the_effect_unknown: Answer("200 OK", "[}") => Outcome::EffectUnknown;
    missing_offset_leaves_the_effect_unknown: Answer("200 OK", r#"{"offsets":[7]}"#) => Outcome::EffectUnknown;
}

// A deadline that is over must not send anything.
#[test]
fn past_deadline_has_no_effect() {
    smol::block_on(async {
        let log = LogClient::new(&format!("http://{}", stand_in(Behaviour::BreakOff).await));
        let error = log.append("config", &["a"], monotonic_now()).await.unwrap_err();
        assert!(matches!(error, LogError::NoEffect(_)), "{error}");
    });
}

#[test]
fn reads_a_page() {
    const PAGE: &str = r#"{"first":3,"next":5,"records":[{"offset":4,"at_ms":17,"data":"a"}]}"#;
    smol::block_on(async {
        let addr = stand_in(Behaviour::Answer("200 OK", PAGE)).await;
        let log = LogClient::new(&format!("http://{addr}"));
        let page: LogPage<String> = log.read("s", 4, 1, monotonic_now().plus_millis(60_000)).await.unwrap();
        assert_eq!((page.first, page.next), (3, 5));
        assert_eq!((page.records[0].offset, page.records[0].at.as_millis()), (4, 17));
        assert_eq!(page.records[0].data, "a");
    });
}

// One foreign entry must not hide all other instances.
#[test]
fn leaves_out_entries_that_are_not_understood() {
    const LIST: &str = r#"{"instances":[{"id":"x","role":"novel"},{"id":"a","role":"agent","zone":"z",
        "service":"booking","peer":"127.0.0.1:9","generation":1,"state":"leaving"}]}"#;
    smol::block_on(async {
        let addr = stand_in(Behaviour::Answer("200 OK", LIST)).await;
        let list = InstanceListClient::new(&format!("http://{addr}"));
        let instances = list.fetch(monotonic_now().plus_millis(60_000)).await.unwrap();
        let ids: Vec<_> = instances.iter().map(|Instance { id, .. }| id.as_str()).collect();
        assert_eq!(ids, ["a"]);
    });
}
