//! Entry instances that learn the configuration and the directory from each other, and the agent beside an engine.

mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use fuchsiabay_balancer::{ServerState, StorePosition};
use fuchsiabay_base::ZoneName;
use fuchsiabay_gateway::{DrainedZonesUpdate, HttpClient};
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;
use support::{Behaviour, Harness, harness::config, platform::FakePlatform};

const REQUEST: &[u8] =
    b"GET /safe/a HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\n\r\n";

async fn status(harness: &Harness) -> u16 {
    harness.caller().await.round_trip(REQUEST).await.map_or(0, |response| response.status)
}

async fn wait_for_status(harness: &Harness, wanted: u16) {
    for _ in 0..100 {
        if status(harness).await == wanted {
            return;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    panic!("no status {wanted} within 2 s");
}

/// Starts an instance that cannot reach the store and has `with_store` as its seed.
async fn start_without_store(with_store: &Harness) -> Harness {
    let platform = FakePlatform::default();
    *platform.is_down.lock().unwrap() = true;
    Harness::start_with(platform, Vec::new(), &[with_store.gateway.peer_addr()]).await
}

/// Guards against an instance that starts without the store and never becomes ready.
#[test]
fn configuration_and_directory_come_from_neighbours() {
    smol::block_on(async {
        let with_store = Harness::start(1, &[Behaviour::Respond("whole")]).await;
        let without_store = start_without_store(&with_store).await;
        without_store.wait_until_ready().await;
        assert_eq!(status(&without_store).await, 200);
    });
}

/// Guards against an instance without the store that accepts a revoked key or sends requests to a draining server. Both
/// changes must apply within 2 s.
#[test]
fn changes_reach_an_instance_without_the_store() {
    smol::block_on(async {
        let with_store = Harness::start(1, &[Behaviour::Respond("whole")]).await;
        let without_store = start_without_store(&with_store).await;
        without_store.wait_until_ready().await;
        assert_eq!(status(&without_store).await, 200);
        let mut revoked = config(2);
        revoked.workspaces.as_mut().unwrap()[0].api_keys.clear();
        *with_store.platform.config.lock().unwrap() = Some(revoked);
        wait_for_status(&without_store, 401).await;
        *with_store.platform.config.lock().unwrap() = Some(config(3));
        wait_for_status(&without_store, 200).await;
        {
            let mut servers = with_store.platform.servers.lock().unwrap();
            servers[0].state = ServerState::Draining;
            servers[0].seq += 1;
        }
        wait_for_status(&without_store, 503).await;
    });
}

/// Guards against an instance that keeps using a draining server, because the positions of the restored store are lower.
#[test]
fn drain_after_a_restore_reaches_an_instance_without_the_store() {
    smol::block_on(async {
        let with_store = Harness::start(1, &[Behaviour::Respond("whole")]).await;
        let without_store = start_without_store(&with_store).await;
        without_store.wait_until_ready().await;
        wait_for_status(&without_store, 200).await;
        let platform = &with_store.platform;
        {
            let mut servers = platform.servers.lock().unwrap();
            servers[0].state = ServerState::Draining;
            servers[0].seq += 1;
        }
        platform.epoch.fetch_add(1, Ordering::Relaxed);
        platform.position.store(0, Ordering::Relaxed);
        wait_for_status(&without_store, 503).await;
        let state = get(without_store.gateway.ops_addr(), "/state").await.1;
        assert!(state.contains("\"store_epoch\":1"), "{state}");
    });
}

/// Guards against requests to a drained zone from an instance that learns the record only from a neighbour, or has just started, and
/// against a zone that gets no requests after the record was removed.
#[test]
fn drained_zone_reaches_instances_without_the_store() {
    smol::block_on(async {
        let with_store = Harness::start(1, &[Behaviour::Respond("whole")]).await;
        let without_store = start_without_store(&with_store).await;
        without_store.wait_until_ready().await;
        wait_for_status(&without_store, 200).await;
        let write_record = |offset, is_drained| {
            let records = vec![(StorePosition { epoch: 0, offset }, ZoneName::new("z"), is_drained)];
            let update = DrainedZonesUpdate { listing: None, records };
            *with_store.platform.drained_zones.lock().unwrap() = update;
        };
        write_record(1, true);
        wait_for_status(&with_store, 503).await;
        wait_for_status(&without_store, 503).await;
        let received = with_store.received();
        let restarted = start_without_store(&with_store).await;
        restarted.wait_until_ready().await;
        for harness in [&with_store, &without_store, &restarted] {
            assert_eq!(status(harness).await, 503);
            let state = get(harness.gateway.ops_addr(), "/state").await.1;
            assert!(state.contains("\"drained\":[\"z\"]"), "{state}");
        }
        assert_eq!(with_store.received(), received, "sent to the drained zone");
        write_record(2, false);
        for harness in [&with_store, &without_store, &restarted] {
            wait_for_status(harness, 200).await;
        }
    });
}

/// Guards against a withdrawn key that is accepted again by an instance which starts after the store has lost its withdrawal.
#[test]
fn instance_that_starts_after_a_restore_does_not_accept_a_withdrawn_key() {
    smol::block_on(async {
        let revoked = || {
            let mut config = config(2);
            config.workspaces.as_mut().unwrap()[0].api_keys.clear();
            Some(config)
        };
        let running = Harness::start(1, &[Behaviour::Respond("whole")]).await;
        *running.platform.config.lock().unwrap() = revoked();
        wait_for_status(&running, 401).await;
        let copy = FakePlatform { config: Arc::default(), ..running.platform.clone() };
        *copy.config.lock().unwrap() = Some(config(1));
        // A neighbour that accepts connections and never responds, and is called first.
        let mut silent = Vec::new();
        while silent.last().is_none_or(|addr| *addr > running.gateway.peer_addr()) {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            silent.push(listener.local_addr().unwrap());
            std::mem::forget(listener);
        }
        let seeds = [*silent.last().unwrap(), running.gateway.peer_addr()];
        for _ in 0..4 {
            let started = Harness::start_with(copy.clone(), Vec::new(), &seeds).await;
            let mut statuses = Vec::new();
            while statuses.last() != Some(&401) {
                statuses.push(status(&started).await);
                Timer::after(Duration::from_millis(5)).await;
            }
            assert!(!statuses.contains(&200), "{statuses:?}");
        }
    });
}

/// Guards against an instance that does not count the requests of its neighbours, because it cannot read their loads.
#[test]
fn loads_reach_a_neighbour() {
    smol::block_on(async {
        let harnesses = start_sharing(2, Behaviour::Slow(900)).await;
        // The instances know each other's lists of servers after the first exchanges.
        Timer::after(Duration::from_millis(800)).await;
        let mut caller = harnesses[0].caller().await;
        caller.send(REQUEST).await;
        let mut others = Vec::new();
        for _ in 0..16 {
            Timer::after(Duration::from_millis(50)).await;
            let state = get(harnesses[1].gateway.ops_addr(), "/state").await.1;
            let state: serde_json::Value = serde_json::from_str(&state).expect("the state is JSON");
            others.push(state["pools"]["s"]["servers"][0]["others"].as_u64());
        }
        assert!(others.contains(&Some(1)), "{others:?}");
    });
}

/// Starts three instances that share one store.
async fn start_three() -> Vec<Harness> {
    start_sharing(3, Behaviour::Respond("whole")).await
}

/// Starts `count` instances that share one store and a server.
async fn start_sharing(count: usize, behaviour: Behaviour) -> Vec<Harness> {
    let first = Harness::start(1, &[behaviour]).await;
    let mut harnesses = vec![first];
    for _ in 1..count {
        let platform = FakePlatform { reads: Arc::default(), ..harnesses[0].platform.clone() };
        harnesses.push(Harness::start_with(platform, Vec::new(), &[]).await);
    }
    let members = harnesses.iter().map(|harness| harness.gateway.peer_addr()).collect();
    *harnesses[0].platform.members.lock().unwrap() = members;
    for harness in &harnesses {
        harness.wait_until_ready().await;
    }
    harnesses
}

/// Guards against every instance reading the store: store calls are billed, so their number must not grow with the number
/// of instances.
#[test]
fn two_instances_read_the_store_for_the_third() {
    smol::block_on(async {
        let harnesses = start_three().await;
        let is_reader = two_readers(&harnesses).await;
        let third = &harnesses[is_reader.iter().position(|reads| !reads).unwrap()];
        let reads_of_third = || third.platform.reads.load(Ordering::Relaxed);
        // What the third instance read itself counts as fresh for at most 1.5 s. After that it depends on the readers.
        Timer::after(Duration::from_millis(2_000)).await;
        let before = reads_of_third();
        let platform = harnesses[0].platform.clone();
        for _ in 0..20 {
            for harness in &harnesses {
                assert_eq!(status(harness).await, 200);
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        assert_eq!(reads_of_third(), before, "the third instance read the store");
        let mut revoked = config(2);
        revoked.workspaces.as_mut().unwrap()[0].api_keys.clear();
        *platform.config.lock().unwrap() = Some(revoked);
        for harness in &harnesses {
            wait_for_status(harness, 401).await;
        }
    });
}

/// Waits until exactly two of `harnesses` read the store for the others. Returns which ones do.
async fn two_readers(harnesses: &[Harness]) -> Vec<bool> {
    let mut is_reader = Vec::new();
    for _ in 0..100 {
        is_reader = readers(harnesses).await;
        if is_reader.iter().filter(|reads| **reads).count() == 2 {
            return is_reader;
        }
        Timer::after(Duration::from_millis(50)).await;
    }
    panic!("not exactly two readers: {is_reader:?}");
}

/// Returns which of `harnesses` read the store for the others, according to `/state`.
async fn readers(harnesses: &[Harness]) -> Vec<bool> {
    let mut is_reader = Vec::new();
    for harness in harnesses {
        let state = get(harness.gateway.ops_addr(), "/state").await.1;
        let state: serde_json::Value = serde_json::from_str(&state).expect("the state is JSON");
        is_reader.push(state["reads_store"].as_bool().expect("the state has reads_store"));
    }
    is_reader
}

async fn get(addr: SocketAddr, target: &str) -> (u16, String) {
    let deadline = monotonic_now().plus_millis(2_000);
    let response = HttpClient::new(addr).get(target, deadline).await.expect("a response before the deadline");
    (response.status, String::from_utf8(response.body).unwrap())
}
