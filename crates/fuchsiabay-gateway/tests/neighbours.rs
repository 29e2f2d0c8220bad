//! What entry instances tell each other when the store leaves one of them out, and the agent beside an engine.

mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use fuchsiabay_balancer::ServerState;
use fuchsiabay_gateway::{AgentSettings, HttpClient, RunningAgent};
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;
use support::{Behaviour, FakeServer, World, platform::FakePlatform, world::config};

const REQUEST: &[u8] =
    b"GET /safe/a HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\n\r\n";

async fn status(world: &World) -> u16 {
    world.caller().await.ask(REQUEST).await.map_or(0, |answer| answer.status)
}

async fn wait_for(world: &World, wanted: u16) {
    for _ in 0..100 {
        if status(world).await == wanted {
            return;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    panic!("no {wanted} within 2 s");
}

/// Starts an instance that the store turns away, beside `informed`.
async fn left_out(informed: &World) -> World {
    let platform = FakePlatform::default();
    *platform.is_down.lock().unwrap() = true;
    World::start_with(platform, Vec::new(), &[informed.gateway.peer_addr()]).await
}

/// Guards against an instance that starts while the store turns it away and serves nobody.
#[test]
fn configuration_and_directory_come_from_neighbours() {
    smol::block_on(async {
        let informed = World::start(1, &[Behaviour::Answer("whole")]).await;
        let other = left_out(&informed).await;
        other.wait_until_ready().await;
        assert_eq!(status(&other).await, 200);
    });
}

/// Guards against a revoked key that still works, and against work for a server that has left, at an instance that the store
/// turns away: both must be in force within 2 s.
#[test]
fn changes_reach_an_instance_that_the_store_turns_away() {
    smol::block_on(async {
        let informed = World::start(1, &[Behaviour::Answer("whole")]).await;
        let other = left_out(&informed).await;
        other.wait_until_ready().await;
        assert_eq!(status(&other).await, 200);
        let mut revoked = config(2);
        revoked.workspaces.as_mut().unwrap()[0].api_keys.clear();
        *informed.platform.config.lock().unwrap() = Some(revoked);
        wait_for(&other, 401).await;
        *informed.platform.config.lock().unwrap() = Some(config(3));
        wait_for(&other, 200).await;
        {
            let mut servers = informed.platform.servers.lock().unwrap();
            servers[0].state = ServerState::Draining;
            servers[0].seq += 1;
        }
        wait_for(&other, 503).await;
    });
}

/// Starts three instances on one store.
async fn three() -> Vec<World> {
    let first = World::start(1, &[Behaviour::Answer("whole")]).await;
    let mut worlds = vec![first];
    for _ in 0..2 {
        let platform = FakePlatform { reads: Arc::default(), ..worlds[0].platform.clone() };
        worlds.push(World::start_with(platform, Vec::new(), &[]).await);
    }
    let members = worlds.iter().map(|world| world.gateway.peer_addr()).collect();
    *worlds[0].platform.members.lock().unwrap() = members;
    for world in &worlds {
        world.wait_until_ready().await;
    }
    worlds
}

/// Guards against every instance reading the store: calls are priced, and their number must not grow with the instances.
#[test]
fn two_instances_read_the_store_for_the_third() {
    smol::block_on(async {
        let worlds = three().await;
        let states = two_readers(&worlds).await;
        let third = &worlds[states.iter().position(|reads| !reads).unwrap()];
        let reads_of_third = || third.platform.reads.load(Ordering::Relaxed);
        // What the third instance read before it knew the readers counts for 1.5 s at most.
        Timer::after(Duration::from_millis(2_000)).await;
        let before = reads_of_third();
        let platform = worlds[0].platform.clone();
        for _ in 0..20 {
            for world in &worlds {
                assert_eq!(status(world).await, 200);
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        assert_eq!(reads_of_third(), before, "the third instance reads the store");
        let mut revoked = config(2);
        revoked.workspaces.as_mut().unwrap()[0].api_keys.clear();
        *platform.config.lock().unwrap() = Some(revoked);
        for world in &worlds {
            wait_for(world, 401).await;
        }
    });
}

/// Waits until two of `worlds` read the store for the others. Returns which do.
async fn two_readers(worlds: &[World]) -> Vec<bool> {
    let mut states = Vec::new();
    for _ in 0..100 {
        states = readers(worlds).await;
        if states.iter().filter(|reads| **reads).count() == 2 {
            return states;
        }
        Timer::after(Duration::from_millis(50)).await;
    }
    panic!("who reads: {states:?}");
}

/// Returns which of `worlds` read the store for the others, as their states say.
async fn readers(worlds: &[World]) -> Vec<bool> {
    let mut states = Vec::new();
    for world in worlds {
        let state = get(world.gateway.ops_addr(), "/state").await.1;
        let state: serde_json::Value = serde_json::from_str(&state).expect("the state is JSON");
        states.push(state["reads_store"].as_bool().expect("the state says who reads"));
    }
    states
}

async fn get(addr: SocketAddr, target: &str) -> (u16, String) {
    let deadline = monotonic_now().plus_millis(2_000);
    let response = HttpClient::new(addr).get(target, deadline).await.expect("the agent answers");
    (response.status, String::from_utf8(response.body).unwrap())
}

/// Guards against an agent that passes on what it should not, or hides that its engine gave no answer.
#[test]
fn agent_passes_control_calls_on() {
    smol::block_on(async {
        let script = [Behaviour::Answer("report"), Behaviour::Answer("accepted"), Behaviour::Reset];
        let engine = FakeServer::start(std::sync::Arc::new(std::sync::Mutex::new(script.into()))).await;
        let settings = AgentSettings {
            instance: "test".to_owned(),
            listen: "127.0.0.1:0".parse().unwrap(),
            engine: engine.addr,
            path_prefix: "/control/",
        };
        let agent = RunningAgent::start(settings).await.unwrap();
        let addr = agent.listen_addr();
        assert_eq!(get(addr, "/control/report").await, (200, "report".to_owned()));
        let deadline = monotonic_now().plus_millis(2_000);
        let order =
            HttpClient::new(addr).post("/control/order", "application/json", b"{}", deadline).await.unwrap();
        assert_eq!((order.status, engine.received()[1].body.as_slice()), (200, &b"{}"[..]));
        assert_eq!(get(addr, "/other").await.0, 404);
        assert_eq!(get(addr, "/control/report").await.0, 504);
        assert_eq!(engine.received().len(), 3);
        assert!(get(addr, "/state").await.1.contains("\"unanswered\":1"));
    });
}
