//! Servers that state how many requests a second they accept.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use std::time::{Duration, Instant};

use smol::Timer;
use support::{Behaviour, FakeServer, Harness};

/// How long requests are sent, and the pause between two of them at one instance.
const RUN: Duration = Duration::from_millis(7_000);
const PAUSE: Duration = Duration::from_millis(15);

/// The time after the first response with a limit from which the limit must hold: `contact_ms` of the rules.
const CONTACT: Duration = Duration::from_millis(3_000);

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_millis(4_000);

/// The requests that a window may have, for a server that accepts `limit` a second: half more than that, and five.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

/// Sends requests to all instances until `until`. Returns the number of successful responses.
async fn send(harnesses: &[Harness], until: Instant) -> usize {
    let mut tasks = Vec::new();
    let mut n = 0;
    while Instant::now() < until {
        for harness in harnesses {
            let addr = harness.gateway.listen_addr();
            n += 1;
            tasks.push(smol::spawn(async move {
                let req = support::get_request("/safe/a", &format!("c{n}"), 900);
                let res = support::Caller::connect(addr).await.round_trip(req.as_bytes()).await;
                usize::from(res.is_some_and(|res| res.status == 200))
            }));
        }
        Timer::after(PAUSE).await;
    }
    let mut served = 0;
    for task in tasks {
        served += task.await;
    }
    served
}

/// Returns the largest number of requests that `server` received in a window that begins at `from` or later.
fn busiest_window(server: &FakeServer, from: Instant) -> usize {
    let arrivals: Vec<Instant> =
        server.received().iter().map(|received| received.at).filter(|at| *at >= from).collect();
    let count =
        |start: &Instant| arrivals.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count();
    arrivals.iter().map(count).max().unwrap_or(0)
}

/// Checks that the instances together respect a limit, that they use most of it, and that another server takes the rest.
async fn check(instances: usize, stated: &'static str, limit: f64) {
    let harnesses =
        Harness::start_instances(instances, &[&[Behaviour::Limited(stated)], &[Behaviour::Respond("whole")]])
            .await;
    let started = Instant::now();
    let served = send(&harnesses, started + RUN).await;
    let [limited, other] = harnesses[0].servers.as_slice() else { panic!("two servers") };
    let busiest = busiest_window(limited, started + CONTACT);
    assert!(busiest <= allowed(limit), "{busiest} requests in 4 s, {} are allowed", allowed(limit));
    assert!(busiest as f64 >= 0.5 * limit * WINDOW.as_secs_f64(), "{busiest} requests in 4 s are too few");
    assert!(other.received().len() > 4 * limited.received().len(), "the other server takes the rest");
    assert!(served > 0);
}

cases! { check:
    /// Guards against instances that ignore the limit of a server, or that each use all of it.
    instances_together_respect_the_limit_of_a_server(3, "6.5", 6.5);
    one_instance_respects_the_limit_of_a_server(1, "4", 4.0);
    /// Guards against a burst of as many requests as there are instances at a server that accepts fewer.
    limit_below_the_number_of_instances_is_respected(6, "1.5", 1.5);
}

/// Guards against a server that gets few requests for ever after its limit has ended.
#[test]
fn limit_ends_with_the_first_response_that_does_not_state_it() {
    smol::block_on(async {
        let script = [vec![Behaviour::Limited("2"); 4], vec![Behaviour::Respond("whole")]].concat();
        let harnesses = Harness::start_instances(1, &[&script, &[Behaviour::Respond("whole")]]).await;
        let started = Instant::now();
        send(&harnesses, started + Duration::from_millis(5_000)).await;
        let late = started + Duration::from_millis(4_000);
        let count =
            |server: &FakeServer| server.received().iter().filter(|received| received.at > late).count();
        let counts: Vec<usize> = harnesses[0].servers.iter().map(count).collect();
        assert!(counts[0] * 3 > counts[1], "requests in the last second: {counts:?}");
    });
}
