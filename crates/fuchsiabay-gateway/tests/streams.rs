//! Streams: events in order, continued at another server, and never whole when they are not.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use std::time::{Duration, Instant};

use support::{Behaviour, World};

const EVENTS: u64 = 6;

const WHOLE: Behaviour = Behaviour::Stream { events: EVENTS, break_after: None, pause_ms: 0 };

const fn broken_after(events: u64) -> Behaviour {
    Behaviour::Stream { events: EVENTS, break_after: Some(events), pause_ms: 0 }
}

fn request(path: &str, rest: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\nX-Left: 900\r\n{rest}\r\n"
    )
}

fn events(from: u64, to: u64) -> String {
    (from..=to).map(|id| format!("id: {id}\ndata: e{id}\n\n")).collect()
}

/// Asks two servers that both follow `script`. Checks the events that the caller gets and whether the stream looks whole.
async fn check(path: &str, script: &[Behaviour], last_event: u64, is_whole: bool) {
    let world = World::start(2, script).await;
    let answer = world.caller().await.ask(request(path, "").as_bytes()).await.expect("a head comes");
    assert_eq!(String::from_utf8(answer.body).unwrap(), events(1, last_event));
    assert_eq!((answer.status, answer.is_whole), (200, is_whole));
}

cases! { check:
    whole_stream_is_relayed("/stream/a", &[WHOLE], EVENTS, true);
    /// Guards against a gap or a repeated event where two servers meet.
    broken_stream_is_continued("/stream/a", &[broken_after(2), WHOLE], EVENTS, true);
    torn_event_is_not_passed_on("/stream/a", &[Behaviour::TornStream { break_after: 2 }, WHOLE], EVENTS, true);
    /// Guards against a part that looks whole.
    stream_that_breaks_everywhere_is_cut("/stream/a", &[broken_after(2)], 4, false);
    stream_that_cannot_resume_is_cut("/once/a", &[broken_after(2), WHOLE], 2, false);
}

/// Guards against a caller's own resumption starting from the beginning.
#[test]
fn caller_resumes_after_its_last_event() {
    smol::block_on(async {
        let world = World::start(1, &[WHOLE]).await;
        let answer =
            world.caller().await.ask(request("/stream/a", "Last-Event-Id: 4\r\n").as_bytes()).await.unwrap();
        assert_eq!(String::from_utf8(answer.body).unwrap(), events(5, EVENTS));
        assert!(answer.is_whole);
    });
}

/// Guards against events that wait in a buffer.
#[test]
fn events_leave_at_once() {
    smol::block_on(async {
        let slow = Behaviour::Stream { events: 3, break_after: None, pause_ms: 120 };
        let world = World::start(1, &[slow]).await;
        let mut caller = world.caller().await;
        let started = Instant::now();
        caller.send(request("/stream/a", "").as_bytes()).await;
        assert!(!caller.is_closed_within(180).await, "the first event is there, the stream is open");
        let answer = caller.answer().await.unwrap();
        assert!(answer.is_whole);
        assert!(started.elapsed() >= Duration::from_millis(360), "{:?}", started.elapsed());
    });
}

/// Guards against servers that generate for a caller who has left between two events.
#[test]
fn close_between_events_reaches_the_server() {
    smol::block_on(async {
        let slow = Behaviour::Stream { events: 100, break_after: None, pause_ms: 300 };
        let world = World::start(1, &[slow]).await;
        let mut caller = world.caller().await;
        caller.send(request("/stream/a", "").as_bytes()).await;
        smol::Timer::after(Duration::from_millis(400)).await;
        drop(caller);
        smol::Timer::after(Duration::from_millis(450)).await;
        assert_eq!(world.servers[0].abandoned(), 1);
    });
}

/// Guards against a stream that outlasts its route's timeout.
#[test]
fn stream_ends_at_the_timeout() {
    smol::block_on(async {
        let slow = Behaviour::Stream { events: 100, break_after: None, pause_ms: 100 };
        let world = World::start(1, &[slow]).await;
        let started = Instant::now();
        let answer = world.caller().await.ask(request("/stream/a", "").as_bytes()).await.unwrap();
        assert!(!answer.is_whole);
        assert!(started.elapsed() < Duration::from_millis(1_400), "{:?}", started.elapsed());
    });
}
