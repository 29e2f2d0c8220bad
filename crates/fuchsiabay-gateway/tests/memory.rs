//! Bodies and events of many connections that take memory at the same time.

mod support;

use std::{sync::Arc, time::Duration};

use fuchsiabay_balancer::RouteKind;
use smol::{Timer, lock::Barrier};
use support::{Behaviour, Caller, Harness, platform::FakePlatform};

/// Half of the memory of an entry instance, in kilobytes. The rest is for its other work. The peak of this process, which plays the
/// servers and callers as well, stays below it.
const MAX_MEMORY_KB: u64 = 260 * 1_000 / 2;

/// The number of connections that take memory at the same time.
const CONNECTIONS: usize = 96;

/// The number of servers, of four slots each.
const SERVERS: usize = CONNECTIONS / 4;

/// What each caller sends of its body, in bytes.
const BODY_BYTES: usize = 3 * 1024 * 1024;

const UNFINISHED_EVENT: Behaviour = Behaviour::Endless {
    head: "HTTP/1.1 200 OK\r\nX-Call: {id}\r\nX-Stamp: s\r\n\r\n",
    repeated: "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n",
};

/// Returns the peak of the memory of this process, in kilobytes.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

async fn start(script: &[Behaviour]) -> Harness {
    let mut config = support::harness::config(1);
    config.limits.max_body_bytes = 4 * 1024 * 1024;
    for route in config.routes.iter_mut().filter(|route| route.kind != RouteKind::Unsafe) {
        route.timeout_ms = 8_000;
    }
    let harness = Harness::start_on(FakePlatform::default(), config, SERVERS, script).await;
    let live = fuchsiabay_gateway::LiveSettings { max_connections: 1_000, ..support::harness::LIVE };
    harness.gateway.apply(live);
    harness
}

fn head(path: &str, id: &str, body_bytes: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: {id}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
}

/// Many streams receive an event that does not end.
async fn check_unfinished_events() {
    let harness = start(&[UNFINISHED_EVENT]).await;
    let calls = (0..CONNECTIONS).map(|i| {
        let addr = harness.gateway.listen_addr();
        smol::spawn(async move {
            let mut caller = Caller::connect(addr).await;
            caller.round_trip(head("/once/a", &format!("e{i}"), 0).as_bytes()).await.map(|r| r.status)
        })
    });
    let calls: Vec<_> = calls.collect();
    for call in calls {
        assert_eq!(call.await, Some(502));
    }
}

/// Many callers send most of a large body and pause. A caller with a small body is served meanwhile.
async fn check_large_bodies() {
    let harness = start(&[Behaviour::Respond("whole")]).await;
    let is_sent = Arc::new(Barrier::new(CONNECTIONS + 1));
    let calls = (0..CONNECTIONS).map(|i| {
        let (addr, is_sent) = (harness.gateway.listen_addr(), is_sent.clone());
        smol::spawn(async move {
            let mut caller = Caller::connect(addr).await;
            caller.send(head("/unsafe/a", &format!("b{i}"), BODY_BYTES + 1).as_bytes()).await;
            static PART: [u8; 64 * 1024] = [b'x'; 64 * 1024];
            for _ in 0..BODY_BYTES / PART.len() {
                // The gateway may have refused the request.
                if !caller.try_send(&PART).await {
                    break;
                }
            }
            is_sent.wait().await;
            Timer::after(Duration::from_millis(200)).await;
            drop(caller);
        })
    });
    let calls: Vec<_> = calls.collect();
    is_sent.wait().await;
    let mut caller = harness.caller().await;
    let response =
        caller.round_trip([head("/unsafe/a", "small", 1), "x".to_owned()].concat().as_bytes()).await;
    assert_eq!(response.map(|response| response.status), Some(200));
    for call in calls {
        call.await;
    }
}

/// Guards against bodies and events of many connections that exhaust the memory together, although each keeps its limit. One test,
/// because the peak of the memory belongs to the process.
#[test]
fn bodies_of_many_connections_share_a_limit() {
    smol::block_on(async {
        check_unfinished_events().await;
        let after_events = peak_memory_kb();
        check_large_bodies().await;
        let peak = peak_memory_kb();
        println!("peak after events {after_events} kB, after bodies {peak} kB");
        assert!(peak < MAX_MEMORY_KB, "peak after events {after_events} kB, after bodies {peak} kB");
    });
}
