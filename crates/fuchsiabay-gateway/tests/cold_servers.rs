//! Servers that state that they are cold.

mod support;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use fuchsiabay_balancer::{ColdStart, ServingConfig};
use support::{Behaviour, FakeServer, Harness, harness, platform::FakePlatform};

/// For how long the server stays cold, in milliseconds.
const COLD_LEFT_MS: u64 = 700;

/// Checks how many of three requests that are sent at once arrive while the server is cold, and that the others are served afterwards.
async fn check(cold_per_s: f64, arrive: std::ops::RangeInclusive<usize>) {
    let platform = FakePlatform::default();
    let cold_start = ColdStart { cold_start_ms: 3_000, cold_per_s };
    let services = harness::config(1).services;
    let cold_starts = services.keys().map(|name| (name.clone(), cold_start)).collect();
    *platform.config.lock().unwrap() = Some(ServingConfig { cold_starts, ..harness::config(1) });
    let script = Arc::new(Mutex::new([Behaviour::Respond("whole")].into()));
    let server = FakeServer::start(script).await;
    let mut record = harness::record(0, &server);
    record.cold_left_ms = COLD_LEFT_MS;
    *platform.servers.lock().unwrap() = vec![record];
    let started = Instant::now();
    let harness = Harness::start_with(platform, vec![server], &[]).await;
    harness.wait_until_ready().await;
    let addr = harness.gateway.listen_addr();
    let calls: Vec<_> = (0..3)
        .map(|i| {
            let req = support::get_request("/safe/a", &format!("c{i}"), 950);
            smol::spawn(async move { support::Caller::connect(addr).await.round_trip(req.as_bytes()).await })
        })
        .collect();
    for call in calls {
        assert_eq!(call.await.map(|res| res.status), Some(200));
    }
    let until = started + Duration::from_millis(COLD_LEFT_MS);
    let received = harness.servers[0].received();
    let early = received.iter().filter(|received| received.at < until).count();
    assert!(arrive.contains(&early), "{early} requests arrived while the server was cold");
}

/// Guards against a limit that is computed but not applied to requests, and against requests that wait for ever. Of 16 instances, the
/// default number, each may send one request.
#[test]
fn cold_server_gets_the_share_of_the_instance() {
    smol::block_on(check(26.0, 0..=1));
}

/// Guards against a change where the configuration states no rate.
#[test]
fn server_without_a_stated_rate_is_not_limited() {
    smol::block_on(check(0.0, 3..=3));
}
