//! Requests that crash the servers that run them, sent to several entry instances in front of the same servers.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use fuchsiabay_balancer::Target;
use fuchsiabay_base::ServiceName;
use fuchsiabay_gateway::HttpClient;
use fuchsiabay_runtime::monotonic_now;
use smol::Timer;
use support::{
    Harness,
    crashing::{BAD, BAD_COPIES, BAD_LATE, CrashingFleet, Ending, SLOW},
    harness::config,
    platform::FakePlatform,
};

/// The number of servers, and how long one is down after a crash. Some are up while others restart.
const SERVERS: usize = 6;
const DOWN: Duration = Duration::from_millis(300);

/// How long the system may take to apply what the crashes show: `contact_ms` of the rules.
const CONTACT: Duration = Duration::from_millis(3_000);

/// The number of bad requests that may reach servers after that.
const MAX_LATE_ARRIVALS: usize = 3;

/// The time within which the other instances must know of a loss, below the interval of 250 ms of their exchanges, and the number of
/// losses after which it is checked.
const TOLD: Duration = Duration::from_millis(200);
const LOSSES: usize = 6;

/// How long requests are sent.
const RUN: Duration = Duration::from_millis(10_000);

/// The pause between two sound copies of a bad request, and the time for which they are sent before it turns bad.
const COPY_PAUSE: Duration = Duration::from_millis(250);
const SOUND_BEFORE: Duration = Duration::from_millis(2_500);

/// The shared first parts of the prompts. Sound and bad requests use the same ones.
const FIRST_PARTS: usize = 3;

/// Bad requests, and what the system may make of them.
#[derive(Clone, Copy)]
struct Case {
    /// Returns the n-th bad request.
    make: fn(usize) -> String,
    /// The pause between two bad requests.
    pause: Duration,
    /// The number of entry instances.
    instances: usize,
    /// The number of crashes after which the system must know the cause.
    free_crashes: usize,
    ending: Ending,
    /// The services among which the route divides its requests.
    services: &'static [&'static str],
    /// Whether sound requests with the same path, caller and body are sent before and beside the bad ones.
    has_sound_copies: bool,
}

const BAD_PART: Case = Case {
    make: bad_part,
    pause: Duration::from_millis(130),
    instances: 2,
    free_crashes: 5,
    ending: Ending::Closes,
    services: &["s"],
    has_sound_copies: false,
};
const BAD_FIRST_PART: Case = Case { make: bad_first_part, ..BAD_PART };
/// So rare that an instance that counts for itself learns the cause late.
const BAD_BODY: Case =
    Case { make: bad_body, pause: Duration::from_millis(1_200), instances: 4, free_crashes: 3, ..BAD_PART };
/// Servers are back soon, so that most instances see a response after each crash.
const BAD_BODY_AND_ID_KEPT: Case =
    Case { pause: Duration::from_millis(500), ending: Ending::KeepsId, ..BAD_BODY };
const BAD_BODY_AND_FOUR_SERVICES: Case =
    Case { pause: Duration::from_millis(500), services: &["s", "t", "u", "v"], ..BAD_BODY };
const BAD_BODY_AND_LATE_CRASH: Case =
    Case { make: bad_late_body, pause: Duration::from_millis(500), ..BAD_BODY };
const BAD_BODY_AND_SILENCE: Case =
    Case { pause: Duration::from_millis(500), ending: Ending::FallsSilent, ..BAD_BODY };
const BAD_COPY: Case = Case {
    make: bad_copy,
    pause: Duration::from_millis(500),
    instances: 3,
    has_sound_copies: true,
    ..BAD_BODY
};

/// Starts entry instances that know each other, in front of the same servers.
async fn start(case: Case) -> (CrashingFleet, Vec<Harness>) {
    let platform = FakePlatform::default();
    let mut config = config(1);
    for route in &mut config.routes {
        let targets = case.services.iter().map(|name| Target { service: ServiceName::new(*name), weight: 1 });
        route.targets = targets.collect();
    }
    *platform.config.lock().unwrap() = Some(config);
    let count = SERVERS.max(2 * case.services.len());
    let fleet =
        CrashingFleet::start_services(platform.clone(), case.services, count, DOWN, case.ending).await;
    let mut harnesses = Vec::new();
    for _ in 0..case.instances {
        let platform = FakePlatform { reads: Arc::default(), ..platform.clone() };
        harnesses.push(Harness::start_with(platform, Vec::new(), &[]).await);
    }
    let members = harnesses.iter().map(|harness| harness.gateway.peer_addr()).collect();
    *platform.members.lock().unwrap() = members;
    for harness in &harnesses {
        harness.wait_until_ready().await;
    }
    (fleet, harnesses)
}

fn request(id: &str, parts: &str, body: &str) -> String {
    format!(
        "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: {id}\r\nX-Left: 900\r\n\
         X-Parts: {parts}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn bad_part(n: usize) -> String {
    request(
        &format!("b{n}"),
        &format!("first{}:40,{BAD}:300,own{n}:20", n % FIRST_PARTS),
        &format!("body{n}"),
    )
}

fn bad_first_part(n: usize) -> String {
    request(&format!("b{n}"), &format!("{BAD}:40,own{n}:20"), &format!("body{n}"))
}

fn bad_body(n: usize) -> String {
    request(&format!("b{n}"), "", BAD)
}

fn bad_late_body(n: usize) -> String {
    request(&format!("b{n}"), "", BAD_LATE)
}

fn bad_copy(n: usize) -> String {
    request(&format!("b{n}"), "", BAD_COPIES)
}

/// Sends sound requests that share their caller and their first part with the bad ones. Returns for each one when it was sent
/// and whether it was served.
async fn send_sound(harnesses: &[Harness], started: Instant) -> Vec<(Instant, bool)> {
    let mut results = Vec::new();
    for n in 0.. {
        if started.elapsed() > RUN {
            break;
        }
        let req =
            request(&format!("s{n}"), &format!("first{}:40,own-s{n}:20", n % FIRST_PARTS), &format!("s{n}"));
        let sent = Instant::now();
        let res = harnesses[n % harnesses.len()].caller().await.round_trip(req.as_bytes()).await;
        results.push((sent, res.is_some_and(|res| res.status == 200 && res.is_complete)));
        Timer::after(Duration::from_millis(20)).await;
    }
    results
}

async fn send_bad(harnesses: &[Harness], started: Instant, case: Case) {
    if case.has_sound_copies {
        Timer::after(SOUND_BEFORE).await;
    }
    let mut n = 0;
    while started.elapsed() < RUN {
        let mut caller = harnesses[n % harnesses.len()].caller().await;
        let req = (case.make)(n);
        smol::spawn(async move { caller.round_trip(req.as_bytes()).await }).detach();
        Timer::after(case.pause).await;
        n += 1;
    }
}

/// Sends sound requests with the same path, caller and body as the bad ones.
async fn send_copies(harnesses: &[Harness], started: Instant, case: Case) {
    let mut n = 0;
    while case.has_sound_copies && started.elapsed() < RUN {
        let mut caller = harnesses[n % harnesses.len()].caller().await;
        let req = request(&format!("c{n}"), "", BAD_COPIES);
        smol::spawn(async move { caller.round_trip(req.as_bytes()).await }).detach();
        Timer::after(COPY_PAUSE).await;
        n += 1;
    }
}

/// Checks how many bad requests reach servers once the system must know the cause, and that sound requests are served.
async fn check(case: Case) {
    let (fleet, harnesses) = start(case).await;
    let started = Instant::now();
    let bad = futures_lite::future::zip(
        send_bad(&harnesses, started, case),
        send_copies(&harnesses, started, case),
    );
    let (results, _) = futures_lite::future::zip(send_sound(&harnesses, started), bad).await;
    let crashes = fleet.crashes();
    let last_free = crashes.get(case.free_crashes - 1).or(crashes.last()).copied().expect("a crash");
    let late = fleet.bad_arrivals().iter().filter(|at| **at > last_free + CONTACT).count();
    assert!(late <= MAX_LATE_ARRIVALS, "{late} bad requests reached servers, {} crashes", crashes.len());
    let after: Vec<bool> =
        results.iter().filter(|(at, _)| *at > last_free + 2 * CONTACT).map(|(_, served)| *served).collect();
    let served = after.iter().filter(|served| **served).count();
    assert!(served * 2 >= after.len(), "{served} of {} sound requests were served", after.len());
    let first = started + Duration::from_millis(500);
    assert!(results.iter().any(|(at, served)| *at < first && *served), "sound requests are served at first");
}

cases! { check:
    /// Guards against a part of a prompt that crashes one server after the other, whatever else the requests hold.
    part_of_a_prompt_stops_crashing_servers(BAD_PART);
    first_part_of_a_prompt_stops_crashing_servers(BAD_FIRST_PART);
    /// Guards against a request that crashes servers at each of the entry instances, because each counts for itself.
    repeated_request_stops_crashing_servers_at_all_instances(BAD_BODY);
    /// Guards against responses of the next process that refute each crash.
    repeated_request_stops_crashing_servers_that_keep_their_ids(BAD_BODY_AND_ID_KEPT);
    /// Guards against a request that counts separately for each service of its route.
    repeated_request_stops_crashing_servers_of_all_services(BAD_BODY_AND_FOUR_SERVICES);
    /// Guards against a request that is taken for harmless because it crashes servers only after some events.
    repeated_request_stops_crashing_servers_late(BAD_BODY_AND_LATE_CRASH);
    /// Guards against attempts that end by their deadline and leave no evidence.
    repeated_request_stops_silencing_servers(BAD_BODY_AND_SILENCE);
    /// Guards against a request that is cleared because servers survived other requests with the same path, caller and body.
    repeated_request_with_sound_copies_stops_crashing_servers(BAD_COPY);
}

/// Returns how many servers an instance takes for lost.
async fn lost_servers(harness: &Harness) -> u64 {
    let mut client = HttpClient::new(harness.gateway.ops_addr());
    let response = client.get("/state", monotonic_now().plus_millis(2_000)).await.expect("a response");
    let state: serde_json::Value = serde_json::from_slice(&response.body).expect("a dump");
    state["lost_servers"].as_u64().expect("a number")
}

/// Guards against a crash that is forgotten because the only instance that saw it ends before its next exchange.
#[test]
fn loss_of_a_server_is_told_at_once() {
    smol::block_on(async {
        let (fleet, harnesses) = start(Case { instances: 2, ..BAD_BODY }).await;
        Timer::after(Duration::from_millis(1_200)).await;
        for n in 0..LOSSES {
            // Either of the two calls the other one in their rounds.
            let (sender, other) = (&harnesses[n % 2], &harnesses[1 - n % 2]);
            send_once(sender, &format!("b{n}"), "", &format!("{BAD}{n}")).await;
            while fleet.crashes().len() <= n {
                Timer::after(Duration::from_millis(2)).await;
            }
            Timer::after(TOLD).await;
            assert_eq!(lost_servers(other).await, n as u64 + 1, "loss {n}");
            Timer::after(Duration::from_millis(900)).await;
        }
    });
}

/// Guards against an instance that serves, in the moment after its start, a request that its neighbours refuse.
#[test]
fn instance_that_starts_refuses_what_its_neighbours_refuse() {
    smol::block_on(async {
        let (fleet, harnesses) = start(Case { instances: 1, ..BAD_BODY }).await;
        for n in 0..3 {
            send_once(&harnesses[0], &format!("b{n}"), "", BAD).await;
            while fleet.crashes().len() <= n {
                Timer::after(Duration::from_millis(2)).await;
            }
        }
        Timer::after(CONTACT).await;
        let seed = harnesses[0].gateway.peer_addr();
        let platform = FakePlatform { reads: Arc::default(), ..fleet.platform.clone() };
        let started = Harness::start_with(platform, Vec::new(), &[seed]).await;
        while started.readiness().await != 200 {
            send_once(&started, "b3", "", BAD).await;
            Timer::after(Duration::from_millis(2)).await;
        }
        for _ in 0..20 {
            send_once(&started, "b4", "", BAD).await;
            Timer::after(Duration::from_millis(10)).await;
        }
        Timer::after(Duration::from_millis(300)).await;
        assert_eq!(fleet.bad_arrivals().len(), 3, "bad requests were sent by the instance that started");
    });
}

/// Sends a request to the route of streams that are not resumed, without waiting for the response.
async fn send_once(harness: &Harness, id: &str, parts: &str, body: &str) {
    let mut caller = harness.caller().await;
    let req = request(id, parts, body).replace("/stream/", "/once/").replace("X-Left: 900", "X-Left: 5000");
    smol::spawn(async move { caller.round_trip(req.as_bytes()).await }).detach();
}

/// Guards against bad requests that wait for a slot, for example until a group is open again, and are sent although it became
/// known meanwhile that they crash servers.
#[test]
fn waiting_requests_are_refused_once_they_are_known_to_crash_servers() {
    smol::block_on(async {
        let platform = FakePlatform::default();
        let mut config = config(1);
        for route in &mut config.routes {
            (route.timeout_ms, route.goal_ms, route.patience_ms) = (5_000, 4_000, None);
        }
        *platform.config.lock().unwrap() = Some(config);
        let fleet = CrashingFleet::start(platform.clone(), 4, Duration::from_secs(60), Ending::Closes).await;
        let harness = Harness::start_with(platform, Vec::new(), &[]).await;
        harness.wait_until_ready().await;
        for n in 0..2 {
            send_once(&harness, &format!("b{n}"), &format!("f,{BAD},own{n}"), "x").await;
            Timer::after(Duration::from_millis(1_200)).await;
        }
        // Two servers with four slots each are left. The third bad request takes the last slot and crashes one of them.
        for n in 0..7 {
            send_once(&harness, &format!("s{n}"), &format!("f,own-s{n}"), SLOW).await;
        }
        Timer::after(Duration::from_millis(50)).await;
        send_once(&harness, "b2", &format!("f,{BAD},own2"), "x").await;
        Timer::after(Duration::from_millis(150)).await;
        assert_eq!(fleet.crashes().len(), 3);
        for n in 3..7 {
            send_once(&harness, &format!("b{n}"), &format!("f,{BAD},own{n}"), "x").await;
        }
        Timer::after(Duration::from_millis(3_000)).await;
        assert_eq!(fleet.bad_arrivals().len(), 3, "bad requests were sent from the queue");
        let sound = request("s9", "f,own-s9", "x");
        let res = harness.caller().await.round_trip(sound.as_bytes()).await.expect("a response");
        assert_eq!((res.status, res.is_complete), (200, true));
    });
}
