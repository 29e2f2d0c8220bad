//! Servers that state that they are leaving, or that they want no requests for some time.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use fuchsiabay_base::InstanceId;
use smol::Timer;
use support::{
    Behaviour, Caller, Harness, Response,
    harness::{engine_config, record},
};

/// The time within which a request is refused once it is known that no server will accept it. It includes the 150 ms after which
/// servers state that.
const AT_ONCE: Duration = Duration::from_millis(400);

const OK: Behaviour = Behaviour::Respond("whole");
const SLOW: Behaviour = Behaviour::Slow(500);
const ERROR: Behaviour = Behaviour::Raw(
    "HTTP/1.1 500 S\r\nX-Call: {id}\r\nX-Stamp: s\r\nX-Leaving: 1\r\nContent-Length: 4\r\n\r\nfail",
);
const REFUSAL: Behaviour = Behaviour::Raw(
    "HTTP/1.1 503 S\r\nX-Call: {id}\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
);
const BROKEN: Behaviour = Behaviour::Raw(
    "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\nX-Leaving: 1\r\nContent-Length: 9\r\n\r\nsho",
);
const OTHER_LEAVING: Behaviour = Behaviour::Raw(
    "HTTP/1.1 200 OK\r\nX-Call: c0\r\nX-Stamp: s\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
);

async fn send(harness: &Harness, path: &str) -> Response {
    send_to(harness.gateway.listen_addr(), path).await
}

async fn send_to(addr: SocketAddr, path: &str) -> Response {
    let req = support::get_request(path, "c1", 900);
    Caller::connect(addr).await.round_trip(req.as_bytes()).await.expect("a response")
}

/// Sends `n` requests at once. Returns the times until those that are refused get their response.
async fn refusals(harness: &Harness, n: usize) -> Vec<Duration> {
    let started = Instant::now();
    let addr = harness.gateway.listen_addr();
    let sent =
        (0..n).map(|_| smol::spawn(async move { (send_to(addr, "/safe/a").await, started.elapsed()) }));
    let mut refused = Vec::new();
    for task in sent.collect::<Vec<_>>() {
        let (response, after) = task.await;
        if response.status == 503 {
            refused.push(after);
        }
    }
    refused
}

fn received(harness: &Harness, server: usize) -> usize {
    harness.servers[server].received().len()
}

/// The first server states with `first` that it is leaving, and would serve on. Checks that each instance sends it nothing after
/// the first response, while the directory lists it and while the store is away.
async fn check_leaving(instances: usize, path: &str, first: Behaviour) {
    let harnesses = Harness::start_instances(instances, &[&[first], &[OK]]).await;
    let until = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < until {
        for harness in &harnesses {
            send(harness, path).await;
        }
        *harnesses[0].platform.is_down.lock().unwrap() = received(&harnesses[0], 0) == instances;
        Timer::after(Duration::from_millis(5)).await;
    }
    assert_eq!(received(&harnesses[0], 0), instances);
    assert!(received(&harnesses[0], 1) > 50);
}

// Guards against an instance that sends requests to a server that has told it that it is leaving.
cases! { check_leaving:
    server_that_leaves_in_a_success_gets_nothing_more(1, "/safe/a", Behaviour::Leaving(0));
    server_that_leaves_in_an_error_gets_nothing_more(1, "/safe/a", ERROR);
    server_that_leaves_in_a_refusal_gets_nothing_more(1, "/safe/a", REFUSAL);
    server_that_leaves_in_a_broken_response_gets_nothing_more(1, "/safe/a", BROKEN);
    server_that_leaves_gets_nothing_more_from_any_instance(3, "/unsafe/a", Behaviour::Leaving(0));
}

/// Guards against an instance that sends requests to a server that has stated only in a health check that it is leaving.
#[test]
fn server_that_leaves_in_a_health_check_gets_nothing_more() {
    smol::block_on(async {
        let harness = &Harness::start_instances(1, &[&[OK], &[OK]]).await[0];
        *harness.platform.config.lock().unwrap() = Some(engine_config(2, 0));
        harness.platform.leaving_engines.lock().unwrap().push(InstanceId::new("i-0"));
        // Health checks begin when the configuration is in force, and are made once a second.
        Timer::after(Duration::from_millis(2_500)).await;
        for _ in 0..20 {
            assert_eq!(send(harness, "/safe/a").await.status, 200);
        }
        assert_eq!((received(harness, 0), received(harness, 1)), (0, 20));
    });
}

/// Guards against requests that waited in the queue, or that resume a stream, at a server that is leaving, and against a server that
/// gets nothing after it has started again.
#[test]
fn queue_resumption_and_restart_respect_a_leaving_server() {
    smol::block_on(async {
        let interrupted = Behaviour::Stream { events: 6, close_after: Some(2), pause_ms: 0 };
        let scripts: [&[Behaviour]; 2] = [&[Behaviour::Leaving(150), SLOW, SLOW, SLOW, OK], &[interrupted]];
        let harness = &Harness::start_instances(1, &scripts).await[0];
        let mut records: Vec<_> = (0..2).map(|i| record(i, &harness.servers[i])).collect();
        let list = |records: &[_]| *harness.platform.servers.lock().unwrap() = records.to_vec();
        list(&records[..1]);
        Timer::after(Duration::from_millis(900)).await;
        let refused = refusals(harness, 8).await;
        assert_eq!((refused.len(), received(harness, 0)), (4, 4));
        assert!(refused.iter().all(|after| *after < AT_ONCE), "refused late: {refused:?}");
        list(&records);
        Timer::after(Duration::from_millis(900)).await;
        let stream = send(harness, "/stream/a").await;
        assert_eq!((stream.is_complete, received(harness, 0)), (false, 4));
        records[0].started_at_ms = 2;
        list(&records[..1]);
        Timer::after(Duration::from_millis(900)).await;
        assert_eq!(send(harness, "/safe/a").await.status, 200);
    });
}

/// Sends a request to a server that refuses it and wants none for `stated` seconds, and then more until `pause_ms` have passed.
/// Checks that they are refused at once, that the callers are told when to return, and that the server serves afterwards.
async fn check_pause(path: &str, stated: &'static str, pause_ms: u64) {
    let harness = &Harness::start_instances(1, &[&[Behaviour::Paused(0, stated), OK]]).await[0];
    let ends_at = Instant::now() + Duration::from_millis(pause_ms);
    while Instant::now() < ends_at {
        let sent_at = Instant::now();
        let response = send(harness, path).await;
        let left_s = ends_at.saturating_duration_since(sent_at).as_secs_f64();
        let retry_after: f64 = response.header("retry-after").expect("a time to return").parse().unwrap();
        assert_eq!(response.status, 503);
        assert!((left_s - 0.1..left_s + 0.6).contains(&retry_after), "{retry_after} s, {left_s} s are left");
        assert!(sent_at.elapsed() < AT_ONCE, "refused late");
        Timer::after(Duration::from_millis(70)).await;
    }
    assert_eq!(received(harness, 0), 1);
    Timer::after(Duration::from_millis(200)).await;
    assert_eq!(send(harness, path).await.status, 200);
}

// Guards against an instance that sends requests to a server that wants none, or that keeps its callers waiting meanwhile.
cases! { check_pause:
    paused_server_gets_no_safe_requests("/safe/a", "1.4", 1_400);
    paused_server_gets_no_unsafe_requests("/unsafe/a", "1", 1_000);
}

/// Checks that a server that states `stated`, which is no length of time, gets requests as one that is full.
async fn check_ignored(stated: &'static str) {
    let harness = &Harness::start_instances(1, &[&[Behaviour::Paused(0, stated), OK]]).await[0];
    assert_eq!(send(harness, "/unsafe/a").await.status, 503);
    Timer::after(Duration::from_millis(400)).await;
    assert_eq!((send(harness, "/unsafe/a").await.status, received(harness, 0)), (200, 2));
}

// Guards against a server that is shut out by a statement that makes no sense.
cases! { check_ignored:
    negative_pause_is_ignored("-3");
    malformed_pause_is_ignored("soon");
    undefined_pause_is_ignored("NaN");
}

/// Guards against requests that wait in the queue of a paused server until their deadline, and against cutting off those that run.
#[test]
fn queued_requests_are_refused_when_the_only_server_pauses() {
    smol::block_on(async {
        let script = [Behaviour::Paused(150, "1.2"), SLOW, SLOW, SLOW, OK];
        let harness = &Harness::start_instances(1, &[&script]).await[0];
        let refused = refusals(harness, 8).await;
        assert_eq!((refused.len(), received(harness, 0)), (5, 4));
        assert!(refused.iter().all(|after| *after < AT_ONCE), "refused late: {refused:?}");
    });
}

/// Guards against a pause of one server that stops the service, and against one that other instances do not need to learn of.
#[test]
fn other_servers_take_the_requests_of_a_paused_one() {
    smol::block_on(async {
        let harnesses = Harness::start_instances(3, &[&[Behaviour::Paused(0, "30")], &[OK]]).await;
        for _ in 0..40 {
            for harness in &harnesses {
                assert_eq!(send(harness, "/safe/a").await.status, 200);
            }
        }
        assert_eq!(received(&harnesses[0], 0), 3);
    });
}

/// Guards against a late copy of the response to another request that shuts a server out.
#[test]
fn copied_response_states_nothing() {
    smol::block_on(async {
        let harness = &Harness::start_instances(1, &[&[OTHER_LEAVING, OK]]).await[0];
        assert_eq!(send(harness, "/unsafe/a").await.status, 502);
        assert_eq!(send(harness, "/unsafe/a").await.status, 200);
    });
}
