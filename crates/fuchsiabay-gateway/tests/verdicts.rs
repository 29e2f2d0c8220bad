//! What callers get for each way in which a backend server can fail, and how often the request is sent.

#[path = "support/cases.rs"]
#[macro_use]
mod cases;
mod support;

use support::{Behaviour, World};

const OK: Behaviour = Behaviour::Answer("whole");

/// Sends one request on `path` to a service whose servers all follow `script` from its start. Checks the status and how many
/// times a server got the request.
async fn check(path: &str, script: &[Behaviour], status: u16, sent: usize) {
    let world = World::start(1, script).await;
    check_at(&world, path, status, sent).await;
}

/// Sends one request on an idempotent route to two servers. The first answer is `failure`, the next one is good.
async fn check_repeated(failure: Behaviour) {
    let world = World::start(2, &[failure, OK]).await;
    check_at(&world, "/safe/a", 200, 2).await;
}

async fn check_request(world: &World, path: &str) -> u16 {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\nX-Left: 900\r\n\r\n"
    );
    let answer = world.caller().await.ask(request.as_bytes()).await;
    answer.map_or(0, |answer| answer.status)
}

async fn check_at(world: &World, path: &str, status: u16, sent: usize) {
    let got = check_request(world, path).await;
    assert_eq!((got, world.received()), (status, sent));
}

cases! { check:
    /// Guards against losing or changing a good answer.
    answer_is_relayed("/unsafe/a", &[OK], 200, 1);
    /// Guards against repeating what must not run twice, and against a promise that it did not run.
    broken_unsafe_is_not_repeated("/unsafe/a", &[Behaviour::Reset, OK], 502, 1);
    garbled_unsafe_is_not_repeated("/unsafe/a", &[Behaviour::Garbage, OK], 502, 1);
    truncated_unsafe_is_not_repeated("/unsafe/a", &[Behaviour::Truncated, OK], 502, 1);
    foreign_answer_is_not_relayed("/unsafe/a", &[Behaviour::WrongId, OK], 502, 1);
    unmarked_success_is_not_relayed("/unsafe/a", &[Behaviour::Unmarked, OK], 502, 1);
    /// Guards against hiding a server's own failure behind another status.
    failure_of_unsafe_is_relayed("/unsafe/a", &[Behaviour::Status(500), OK], 500, 1);
    /// Guards against a 502 where the request provably did not run.
    full_server_is_refused_with_503("/unsafe/a", &[Behaviour::Full, OK], 503, 1);
    /// Guards against reading past the end of an answer.
    second_answer_is_dropped("/unsafe/a", &[Behaviour::Twice, OK], 200, 1);
    /// Guards against refusing a body that ends with its connection.
    unframed_answer_is_relayed("/unsafe/a", &[Behaviour::Unframed], 200, 1);
    /// Guards against a stream that cannot be resumed running twice.
    broken_stream_that_cannot_resume_is_not_repeated("/once/a", &[Behaviour::Reset, OK], 502, 1);
}

cases! { check_repeated:
    /// Guards against giving up on an idempotent request while another server works.
    broken_safe_is_repeated(Behaviour::Reset);
    garbled_safe_is_repeated(Behaviour::Garbage);
    truncated_safe_is_repeated(Behaviour::Truncated);
    foreign_answer_to_safe_is_repeated(Behaviour::WrongId);
    failure_of_safe_is_repeated(Behaviour::Status(500));
    misdirected_safe_is_repeated(Behaviour::Misdirected);
    full_server_is_passed_over(Behaviour::Full);
    slow_safe_is_moved(Behaviour::Slow(5_000));
}

/// Guards against keeping a caller of a slow server past the route's timeout.
#[test]
fn timeout_is_answered_in_time() {
    smol::block_on(async {
        let world = World::start(1, &[Behaviour::Slow(5_000)]).await;
        let started = std::time::Instant::now();
        check_at(&world, "/unsafe/a", 504, 1).await;
        assert!(started.elapsed().as_millis() < 1_400, "answered after {:?}", started.elapsed());
    });
}

/// Guards against work that goes on for a caller who has left.
#[test]
fn close_of_the_caller_reaches_the_server() {
    smol::block_on(async {
        let world = World::start(1, &[Behaviour::Slow(5_000)]).await;
        let mut caller = world.caller().await;
        caller
            .send(b"GET /safe/a HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\nX-Call: c1\r\n\r\n")
            .await;
        while world.received() == 0 {
            smol::Timer::after(std::time::Duration::from_millis(5)).await;
        }
        drop(caller);
        smol::Timer::after(std::time::Duration::from_millis(450)).await;
        assert_eq!(world.servers[0].abandoned(), 1);
    });
}
