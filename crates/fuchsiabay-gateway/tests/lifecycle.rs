//! Start, configuration changes, servers that leave, outages of the store, and shutdown.

mod support;

use std::time::{Duration, Instant};

use fuchsiabay_balancer::{RetryLimits, RouteKind, ServerState};
use fuchsiabay_gateway::LiveSettings;
use smol::Timer;
use support::{Answer, Behaviour, World, platform::FakePlatform, route, world::LIVE};

const OK: Behaviour = Behaviour::Answer("whole");

const REQUEST: &[u8] =
    b"GET /safe/a HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\n\r\n";

async fn ask(world: &World) -> Answer {
    world.caller().await.ask(REQUEST).await.expect("every request is answered")
}

/// Waits until a request is answered with `status`, for `ms` at most.
async fn wait_for_status(world: &World, status: u16, ms: u64) {
    let started = Instant::now();
    while ask(world).await.status != status {
        assert!(started.elapsed() < Duration::from_millis(ms), "still no {status}");
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Guards against a 401 or 404 from an instance that knows no configuration yet.
#[test]
fn without_configuration_requests_are_refused_with_503() {
    smol::block_on(async {
        let world = World::start_with(FakePlatform::default(), Vec::new(), &[]).await;
        let answer = ask(&world).await;
        assert_eq!((answer.status, answer.header("fuchsiabay-verdict").as_deref()), (503, Some("not-run")));
        assert!(answer.header("retry-after").is_some());
        assert_eq!(world.readiness().await, 503);
    });
}

/// Guards against an older configuration that comes back, and against changes that take more than 2 s.
#[test]
fn higher_version_wins_and_stays() {
    smol::block_on(async {
        let world = World::start(1, &[OK]).await;
        assert_eq!(ask(&world).await.status, 200);
        let mut newer = support::world::config(7);
        newer.routes = vec![route("/other/", RouteKind::Safe)];
        *world.platform.config.lock().unwrap() = Some(newer);
        wait_for_status(&world, 404, 1_500).await;
        *world.platform.config.lock().unwrap() = Some(support::world::config(3));
        Timer::after(Duration::from_millis(300)).await;
        assert_eq!(ask(&world).await.status, 404);
    });
}

/// Guards against new work for a server that leaves.
#[test]
fn draining_server_gets_no_new_work() {
    smol::block_on(async {
        let world = World::start(1, &[OK]).await;
        assert_eq!(ask(&world).await.status, 200);
        {
            let mut servers = world.platform.servers.lock().unwrap();
            servers[0].state = ServerState::Draining;
            servers[0].seq += 1;
        }
        wait_for_status(&world, 503, 1_500).await;
        let runs = world.received();
        assert_eq!(ask(&world).await.status, 503);
        assert_eq!(world.received(), runs);
    });
}

/// Guards against an outage of the store that stops traffic.
#[test]
fn outage_of_the_store_stops_nothing() {
    smol::block_on(async {
        let world = World::start(1, &[OK]).await;
        *world.platform.is_down.lock().unwrap() = true;
        Timer::after(Duration::from_millis(800)).await;
        assert_eq!(ask(&world).await.status, 200);
        assert_eq!(world.readiness().await, 200);
    });
}

/// Guards against idle connections that bring requests until the process ends, and against a request that is cut off:
/// both broke trouble-2 on two deployments.
#[test]
fn shutdown_finishes_what_runs_and_closes_idle_connections() {
    smol::block_on(async {
        let world = World::start(1, &[Behaviour::Slow(600)]).await;
        let mut idle = world.caller().await;
        let mut busy = world.caller().await;
        busy.send(REQUEST).await;
        while world.received() == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        let ops = world.gateway.ops_addr();
        let stop = smol::spawn(world.gateway.stop());
        assert!(idle.is_closed_within(300).await, "an idle connection stayed open");
        let answer = busy.answer().await.expect("what was accepted is answered");
        assert_eq!((answer.status, answer.header("connection").as_deref()), (200, Some("close")));
        let mut client = fuchsiabay_gateway::HttpClient::new(ops);
        let deadline = fuchsiabay_runtime::monotonic_now().plus_millis(1_000);
        assert_eq!(client.get("/readyz", deadline).await.unwrap().status, 503);
        stop.await;
    });
}

/// Guards against requests that are accepted too late to end in time.
#[test]
fn late_requests_are_refused_during_shutdown() {
    smol::block_on(async {
        let world = World::start(1, &[Behaviour::Slow(950)]).await;
        let addr = world.gateway.listen_addr();
        let stop = smol::spawn(world.gateway.stop());
        // Two requests keep the gateway running across the moment from which it refuses new ones.
        let mut running = Vec::new();
        for wait_ms in [2_600, 400] {
            Timer::after(Duration::from_millis(wait_ms)).await;
            let mut caller = support::Caller::connect(addr).await;
            caller.send(REQUEST).await;
            running.push(caller);
        }
        let mut refused = false;
        while !refused {
            Timer::after(Duration::from_millis(100)).await;
            let mut late = support::Caller::connect(addr).await;
            late.send(REQUEST).await;
            refused = late.is_answered_within(50).await && late.answer().await.map(|a| a.status) == Some(503);
        }
        for mut caller in running {
            assert_eq!(caller.answer().await.map(|answer| answer.status), Some(200));
        }
        stop.await;
    });
}

/// Guards against events of the process that operators cannot see.
#[test]
fn state_and_metrics_are_served() {
    smol::block_on(async {
        let world = World::start(1, &[OK]).await;
        ask(&world).await;
        let mut client = fuchsiabay_gateway::HttpClient::new(world.gateway.ops_addr());
        let deadline = fuchsiabay_runtime::monotonic_now().plus_millis(2_000);
        let state = client.get("/state", deadline).await.unwrap();
        let state: serde_json::Value = serde_json::from_slice(&state.body).unwrap();
        assert_eq!(state["config"]["version"], 1);
        assert_eq!(state["pools"]["s"]["servers"][0]["id"], "i-0");
        let metrics = client.get("/metrics", deadline).await.unwrap();
        let metrics = String::from_utf8(metrics.body).unwrap();
        assert!(metrics.contains("fuchsiabay_requests_total"), "{metrics}");
        assert!(metrics.contains("fuchsiabay_request_ms"), "{metrics}");
    });
}

/// Guards against a connection that opens during the shutdown and is closed before its request was read.
#[test]
fn connection_that_opens_during_shutdown_is_answered() {
    smol::block_on(async {
        let world = World::start(1, &[Behaviour::Answer("whole")]).await;
        let addr = world.gateway.listen_addr();
        let stop = smol::spawn(world.gateway.stop());
        Timer::after(Duration::from_millis(100)).await;
        for _ in 0..5 {
            let mut caller = support::Caller::connect(addr).await;
            Timer::after(Duration::from_millis(30)).await;
            assert_eq!(caller.ask(REQUEST).await.map(|answer| answer.status), Some(200));
        }
        stop.await;
    });
}

/// Guards against changed settings that wait for the next start: an operator who lowers a limit expects it to hold after SIGHUP.
#[test]
fn changed_limits_are_in_force_at_once() {
    smol::block_on(async {
        let world = World::start(1, &[OK]).await;
        assert_eq!(ask(&world).await.status, 200);
        world.gateway.apply(LiveSettings { max_connections: 0, ..LIVE });
        assert!(world.caller().await.ask(REQUEST).await.is_none_or(|answer| answer.status != 200));
        world.gateway.apply(LIVE);
        assert_eq!(ask(&world).await.status, 200);
    });
}

/// Guards against a lower retry budget that only new services get.
#[test]
fn changed_retry_budget_is_in_force_at_once() {
    smol::block_on(async {
        let world = World::start(2, &[Behaviour::Reset]).await;
        ask(&world).await;
        assert_eq!(world.received(), 2);
        let retries = RetryLimits { ratio: 0.0, slack: 0, window_ms: 10_000 };
        world.gateway.apply(LiveSettings { retries, ..LIVE });
        ask(&world).await;
        assert_eq!(world.received(), 3, "a retry was made without a budget");
    });
}
