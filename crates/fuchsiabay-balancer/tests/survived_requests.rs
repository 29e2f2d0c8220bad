//! Whole requests under which servers crash although other servers survive them.

#[path = "support/ledger.rs"]
mod support;

use std::net::SocketAddr;

use fuchsiabay_balancer::{CrashLedger, SurvivedRun, Suspect};
use support::{at, is_refused, server, suspects};

/// The time after which a loss of connections counts as a crash if the server stays silent, with a margin.
const CONFIRMED_MS: u64 = 1_000;

/// The times of three crashes.
const CRASHES_MS: [u64; 3] = [20_000, 20_200, 20_400];

/// The time for which a request that servers survived is refused.
const QUARANTINE_MS: u64 = 60_000;

/// The number of servers of the service.
const SERVERS: usize = 3;

fn request() -> Vec<Suspect> {
    suspects("", "body")
}

/// Returns a ledger of an instance at which servers survived the request every 500 ms for 20 s, for `run_ms` each time.
fn ledger_after_runs(run_ms: u64) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for ms in (0..CRASHES_MS[0]).step_by(500) {
        ledger.record_survival(&request(), SurvivedRun { ms: run_ms, servers: SERVERS }, at(ms));
    }
    ledger
}

/// Crashes a server under the request at each of `times`.
fn crash(ledger: &mut CrashLedger, times: &[u64]) {
    for ms in times {
        ledger.advance(at(*ms));
        ledger.record_loss(&server(*ms), &request(), at(*ms), at(*ms));
    }
    ledger.advance(at(times.last().unwrap() + CONFIRMED_MS));
}

/// Checks whether the request is refused at each time after the crashes.
fn check(run_ms: u64, crashes: &[u64], expected: &[(u64, bool)]) {
    let mut ledger = ledger_after_runs(run_ms);
    crash(&mut ledger, crashes);
    for (ms, refused) in expected {
        assert_eq!(is_refused(&mut ledger, &request(), *ms), *refused, "{ms}");
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[test] fn $name() { check($($arg),*); })*
    };
}

cases! {
    /// Guards against a request that is cleared by runs that are too rare to put it on three servers by chance.
    rare_request_is_refused_after_three_crashes(60, &CRASHES_MS, &[(21_400, true)]);
    /// Guards against a sound request that is refused because it runs on most servers, whatever crashes them.
    request_that_always_runs_is_served(1_500, &CRASHES_MS, &[(21_400, false)]);
    /// Guards against a frequent request that is never refused because three crashes may be chance.
    frequent_request_is_refused_after_more_crashes(
        300, &[20_000, 20_200, 20_400, 24_000, 24_200, 24_400, 28_000], &[(29_000, true)]
    );
    /// Guards against sound requests that are refused for minutes because another one looked the same.
    request_is_tried_again_after_a_minute(
        60, &CRASHES_MS, &[(CRASHES_MS[2] + QUARANTINE_MS - 1, true), (CRASHES_MS[2] + QUARANTINE_MS, false)]
    );
    /// Guards against a request that is tried again and again while it crashes servers.
    request_that_crashes_servers_when_it_is_tried_again_is_refused_longer(
        60, &[20_000, 20_200, 20_400, 81_000], &[(85_000, true), (200_000, true)]
    );
}

/// Guards against more crashes while the loss of a server under a request that was refused before is not yet a crash.
#[test]
fn request_that_is_tried_again_is_refused_at_the_first_loss() {
    let mut ledger = ledger_after_runs(60);
    crash(&mut ledger, &CRASHES_MS);
    let again_ms = CRASHES_MS[2] + QUARANTINE_MS + 500;
    assert!(!is_refused(&mut ledger, &request(), again_ms));
    ledger.record_loss(&server(0), &request(), at(again_ms), at(again_ms));
    assert!(is_refused(&mut ledger, &request(), again_ms + 200));
}

/// Guards against the refusal of a popular request at an instance that rarely sends it.
#[test]
fn request_that_other_instances_send_all_the_time_is_served() {
    let (mut ledger, mut other) = (ledger_after_runs(60), ledger_after_runs(1_500));
    for ledger in [&mut ledger, &mut other] {
        crash(ledger, &CRASHES_MS);
    }
    assert!(is_refused(&mut ledger, &request(), 21_500));
    let addr = SocketAddr::from(([127, 0, 0, 1], 7_000));
    ledger.merge_occupancies(addr, &other.own_occupancies(at(21_500)), at(21_500));
    assert!(!is_refused(&mut ledger, &request(), 21_700));
}
