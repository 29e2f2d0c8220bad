//! What processes that start after all others have ended know of crashes.

#[path = "support/ledger.rs"]
mod support;

use fuchsiabay_balancer::{CrashLedger, CrashRecord, SurvivedRun};
use fuchsiabay_base::Timestamp;
use quickcheck::quickcheck;
use support::{RUN, at, is_refused, server, suspects};

/// The time after which a loss of connections counts as a crash if the server stays silent, with a margin.
const CONFIRMED_MS: u64 = 1_000;

/// The time for which a crash counts, in milliseconds.
const EXPIRY_MS: u64 = 300_000;

/// The size of a record of the store, in bytes.
const MAX_RECORD_BYTES: usize = 262_144;

/// Records crashes under the request with the body `bad`, one every 2 s, each beside a request of its own.
fn crash(ledger: &mut CrashLedger, crashes: u64) {
    for n in 0..crashes {
        for body in ["bad".to_owned(), format!("own{n}")] {
            ledger.record_loss(&server(n), &suspects("", &body), at(2_000 * n), at(2_000 * n));
        }
    }
}

/// Returns a ledger that knows only what `ledger` has recorded at `ms`.
fn restarted(ledger: &mut CrashLedger, ms: u64) -> CrashLedger {
    ledger.advance(at(ms));
    let json = serde_json::to_vec(&ledger.to_record(1, at(ms))).unwrap();
    let record: CrashRecord = serde_json::from_slice(&json).unwrap();
    let mut restarted = CrashLedger::default();
    restarted.restore(&record, at(ms));
    restarted
}

/// Checks whether a process that starts after `crashes` crashes, and sees `later` ones itself, refuses the request at `ms` after them.
fn check(crashes: u64, later: u64, ms: u64, refuses: bool) {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, crashes);
    let mut now_ms = 2_000 * crashes + CONFIRMED_MS;
    let mut started = restarted(&mut ledger, now_ms);
    for n in 0..later {
        now_ms += 2_000;
        started.record_loss(&server(100 + n), &suspects("", "bad"), at(now_ms), at(now_ms));
    }
    assert_eq!(is_refused(&mut started, &suspects("", "bad"), now_ms + ms), refuses);
    assert!(!is_refused(&mut started, &suspects("", "own0"), now_ms + ms), "a sound request is refused");
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($($arg:expr),*);)*) => { $($(#[$doc])* #[test] fn $name() { check($($arg),*); })* };
}

cases! {
    /// Guards against a quarantine that is forgotten because all instances were killed.
    quarantine_outlives_all_processes(3, 0, 0, true);
    /// Guards against crashes that do not add up over a restart of all instances.
    crashes_before_and_after_a_restart_add_up(2, 1, CONFIRMED_MS, true);
    two_crashes_quarantine_nothing(2, 0, CONFIRMED_MS, false);
    restored_quarantine_ends(3, 0, EXPIRY_MS, false);
}

/// Guards against a quarantine that each restart renews.
#[test]
fn quarantine_ends_although_all_processes_restart() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 3);
    for restart in 1..=4 {
        ledger = restarted(&mut ledger, 70_000 * restart);
        assert!(is_refused(&mut ledger, &suspects("", "bad"), 70_000 * restart));
    }
    let last_crash_ms = 4_000;
    assert!(!is_refused(
        &mut restarted(&mut ledger, 290_000),
        &suspects("", "bad"),
        last_crash_ms + EXPIRY_MS
    ));
}

/// Guards against a record that makes a sound request look like one that no server survives.
#[test]
fn survived_request_is_served_after_a_restart() {
    let mut ledger = CrashLedger::default();
    let popular = suspects("", "bad");
    for ms in (0..8_000).step_by(10) {
        ledger.record_survival(&popular, SurvivedRun { ms: 1_000, servers: 10 }, at(ms));
    }
    crash(&mut ledger, 4);
    assert!(!is_refused(&mut ledger, &popular, 9_000));
    assert!(!is_refused(&mut restarted(&mut ledger, 9_000), &popular, 9_100));
}

/// Guards against a refuted loss that a record, which may be older, brings back.
#[test]
fn refuted_loss_is_not_restored() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 3);
    let ms = 6_000 + CONFIRMED_MS;
    ledger.advance(at(ms));
    let record = ledger.to_record(1, at(ms));
    (0..3).for_each(|n| ledger.record_report(&server(n), at(ms), at(ms)));
    ledger.restore(&record, at(ms));
    assert!(!is_refused(&mut ledger, &suspects("", "bad"), ms + 200));
    assert!(ledger.to_record(1, at(ms + 200)).is_empty());
}

/// Guards against a write to the store for each crash of a server, which holds all that the server ran.
#[test]
fn crash_that_has_nothing_in_common_with_others_is_not_recorded() {
    let mut ledger = CrashLedger::default();
    for n in 0..5 {
        let own = suspects(&format!("part{n},own{n}"), &format!("own{n}"));
        ledger.record_loss(&server(n), &own, at(2_000 * n), at(2_000 * n));
    }
    ledger.advance(at(20_000));
    assert!(ledger.to_record(1, at(20_000)).is_empty());
}

quickcheck! {
    // Guards against a record that the store rejects because it is too large.
    fn record_is_bounded(servers: u16, requests: u8) -> bool {
        let mut ledger = CrashLedger::default();
        let ran = (0..requests).map(|n| suspects("a,b,c,d,e,f,g,h,own", &format!("request {n}")));
        let ran: Vec<_> = ran.flatten().collect();
        let now: Timestamp = at(1_000);
        for n in 0..u64::from(servers % 300) {
            ledger.record_loss(&server(n), &ran, now, now);
        }
        ledger.advance(at(1_000 + CONFIRMED_MS));
        let record = ledger.to_record(1, at(1_000 + CONFIRMED_MS));
        serde_json::to_vec(&record).unwrap().len() < MAX_RECORD_BYTES / 2
    }

    // Guards against a record that differs from itself once it is read again, so that it is written for ever.
    fn restored_record_holds_the_same_evidence(crashes: u8) -> bool {
        let mut ledger = CrashLedger::default();
        crash(&mut ledger, u64::from(crashes % 100));
        let ms = 200_000 + CONFIRMED_MS;
        let mut started = restarted(&mut ledger, ms);
        started.advance(at(ms));
        started.to_record(1, at(ms)).has_same_evidence(&ledger.to_record(1, at(ms)))
    }
}

/// Guards against a write to the store for each crash of a server, which runs requests with common parts.
#[test]
fn part_that_servers_survive_is_not_recorded() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 {
        let ran = suspects(&format!("common,own{n}"), &format!("own{n}"));
        ledger.record_loss(&server(n), &ran, at(2_000 * n), at(2_000 * n));
        ledger.record_survival(&suspects("common,own", "sound"), RUN, at(2_000 * n));
    }
    ledger.advance(at(8_000));
    assert!(ledger.to_record(1, at(8_000)).is_empty());
}
