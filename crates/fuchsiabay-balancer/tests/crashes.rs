//! Which requests are refused because they, or parts of their prompts, crash servers.

#[path = "support/ledger.rs"]
mod support;

use fuchsiabay_balancer::{CrashLedger, SurvivedRun};
use quickcheck::{TestResult, quickcheck};
use support::{RUN, at, is_refused, server, suspects};

/// The time after which a loss of connections counts as a crash if the server stays silent, with a margin.
const CONFIRMED_MS: u64 = 1_000;

/// The largest number of crashes of a case, and of sound requests that each of them hits.
const MAX_CRASHES: usize = 12;
const MAX_BYSTANDERS: usize = 12;

/// What happens to a server while it runs a request.
#[derive(Clone, Copy)]
enum Event {
    /// Server `.0` loses its connections at `.1` ms and stays silent. It ran a request with the prompt `.2`.
    Crash(u64, u64, &'static str),
    /// The same, but the server responds 100 ms later.
    Reset(u64, u64, &'static str),
    /// A request with the prompt `.1` is complete at `.0` ms.
    Survival(u64, &'static str),
}

fn ledger_after(events: &[Event]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for (n, event) in events.iter().enumerate() {
        let body = format!("body{n}");
        match *event {
            Event::Crash(id, ms, parts) => {
                ledger.record_loss(&server(id), &suspects(parts, &body), at(ms), at(ms))
            }
            Event::Reset(id, ms, parts) => {
                ledger.record_loss(&server(id), &suspects(parts, &body), at(ms), at(ms));
                ledger.record_report(&server(id), at(ms + 50), at(ms + 100));
            }
            Event::Survival(ms, parts) => ledger.record_survival(&suspects(parts, &body), RUN, at(ms)),
        }
    }
    ledger
}

/// Checks which of the prompts are refused 30 s after the first event.
fn check(events: &[Event], refused: &[&str], served: &[&str]) {
    let mut ledger = ledger_after(events);
    for parts in refused {
        assert!(is_refused(&mut ledger, &suspects(parts, "new"), 30_000), "{parts} is not refused");
    }
    for parts in served {
        assert!(!is_refused(&mut ledger, &suspects(parts, "new"), 30_000), "{parts} is refused");
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($events:expr, refused: $refused:expr, served: $served:expr);)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check(&$events, &$refused, &$served);
            }
        )*
    };
}

use Event::{Crash, Reset, Survival};

cases! {
    /// Guards against a bad part that is never found because no two requests with it are alike.
    part_with_three_crashes_is_refused(
        [Crash(1, 0, "a,bad,o1"), Crash(2, 4_000, "b,bad,o2"), Crash(3, 8_000, "c,bad,o3")],
        refused: ["a,bad,o4", "d,bad,o5"], served: ["a,o6", "b,other,o7", "a,b,bad"]
    );
    /// Guards against the refusal of sound requests that share the first part with the bad ones.
    deepest_of_two_parts_with_the_same_crashes_is_refused(
        [Crash(1, 0, "a,bad,o1"), Crash(2, 4_000, "a,bad,o2"), Crash(3, 8_000, "a,bad,o3")],
        refused: ["a,bad,o4", "b,bad,o5"], served: ["a,o6", "a,other,o7"]
    );
    /// Guards against the refusal of a sound part below the bad one, which servers rarely survive because it is rarely used.
    part_with_fewer_survivals_is_refused(
        [Survival(0, "x,b,o0"), Crash(1, 1, "bad,b,o1"), Crash(2, 4_000, "bad,b,o2"), Crash(3, 8_000, "bad,b,o3")],
        refused: ["bad,b,o4", "bad,c,o5"], served: ["a,b,o6"]
    );
    /// Guards against a quarantine of one deeper part after the other while the part above them is the bad one.
    part_above_many_others_is_refused(
        [Crash(1, 0, "bad,a,o1"), Crash(2, 4_000, "bad,b,o2"), Crash(3, 8_000, "bad,c,o3")],
        refused: ["bad,d,o4"], served: ["e,a,o5", "e,b,o6"]
    );
    two_crashes_do_not_identify_the_cause(
        [Crash(1, 0, "a,bad,o1"), Crash(2, 4_000, "b,bad,o2")],
        refused: [], served: ["a,bad,o3", "b,o4"]
    );
    /// Guards against repeated reports of one crash that count as several.
    crash_of_one_server_counts_once(
        [Crash(1, 0, "a,o1"), Crash(1, 1_100, "a,o2"), Crash(1, 2_000, "a,o3")],
        refused: [], served: ["a,o4"]
    );
    /// Guards against the refusal of popular parts after the servers of a rack failed together.
    crashes_at_one_moment_do_not_identify_the_cause(
        [Crash(1, 0, "a,o1"), Crash(2, 10, "a,o2"), Crash(3, 20, "a,o3"), Crash(4, 30, "a,o4")],
        refused: [], served: ["a,o5"]
    );
    /// Guards against the refusal of popular parts after unrelated crashes.
    part_that_servers_survived_before_is_served(
        [
            Survival(0, "a,o1"), Survival(1, "a,o2"), Survival(2, "a,o3"),
            Crash(1, 1_000, "a,o4"), Crash(2, 5_000, "a,o5"), Crash(3, 9_000, "a,o6"),
        ],
        refused: [], served: ["a,o7"]
    );
    /// Guards against a part that is refused for minutes although servers survive it.
    part_that_servers_survive_afterwards_is_served(
        [
            Crash(1, 0, "a,o1"), Crash(2, 4_000, "a,o2"), Crash(3, 8_000, "a,o3"),
            Survival(9_000, "a,o4"), Survival(9_001, "a,o5"), Survival(9_002, "a,o6"),
        ],
        refused: [], served: ["a,o7"]
    );
    /// Guards against one survival that was measured wrongly, for example by an instance that was paused.
    one_survival_does_not_clear_a_part(
        [Survival(0, "x,bad,o0"), Crash(1, 1, "a,bad,o1"), Crash(2, 4_000, "b,bad,o2"), Crash(3, 8_000, "c,bad,o3")],
        refused: ["a,bad,o4"], served: ["a,o5"]
    );
    /// Guards against a part that has become harmful, for example with other weights.
    survivals_expire(
        [
            Survival(0, "a,bad,o1"), Survival(1, "a,bad,o2"), Survival(2, "a,bad,o3"), Survival(0, "a,o0"),
            Crash(1, 61_000, "b,bad,o4"), Crash(2, 65_000, "c,bad,o5"), Crash(3, 69_000, "d,bad,o6"),
        ],
        refused: [], served: ["a,o7"]
    );
    /// Guards against servers that only reset connections, or whose group was cut off because of another rank.
    server_that_responds_again_did_not_crash(
        [Reset(1, 0, "a,o1"), Reset(2, 4_000, "a,o2"), Reset(3, 8_000, "a,o3")],
        refused: [], served: ["a,o4"]
    );
    /// Guards against the crash of a rank that is not counted because its group was cut off before, when another rank crashed.
    server_that_crashes_soon_after_it_was_cut_off_counts(
        [
            Crash(1, 0, "a,bad,o1"), Reset(2, 1_500, "a,o2"), Crash(2, 4_300, "b,bad,o3"),
            Reset(3, 5_800, "a,o4"), Crash(3, 8_600, "c,bad,o5"),
        ],
        refused: ["a,bad,o6"], served: ["a,o7"]
    );
    last_part_is_not_suspect(
        [Crash(1, 0, "a,own"), Crash(2, 4_000, "b,own"), Crash(3, 8_000, "c,own")],
        refused: [], served: ["d,own", "a,o1"]
    );
    /// Guards against a second bad part that hides behind the first one.
    two_bad_parts_are_refused(
        [
            Crash(1, 0, "a,bad,o1"), Crash(2, 2_000, "a,worse,o2"), Crash(3, 4_000, "a,bad,o3"),
            Crash(4, 6_000, "b,worse,o4"), Crash(5, 8_000, "b,bad,o5"), Crash(6, 10_000, "c,worse,o6"),
            Survival(11_000, "a,s1"), Survival(11_000, "a,s2"), Survival(11_000, "a,s3"),
        ],
        refused: ["d,bad,o7", "d,worse,o8"], served: ["a,o9", "b,o10", "c,o11"]
    );
}

/// Guards against a part that has become harmful and is not refused because servers survived it long ago.
#[test]
fn part_that_became_harmful_is_refused() {
    let mut ledger = CrashLedger::default();
    (0..3).for_each(|ms| ledger.record_survival(&suspects("a,bad,o", "b"), RUN, at(ms)));
    for (n, ms) in [61_000, 65_000, 69_000].into_iter().enumerate() {
        ledger.record_loss(&server(n as u64), &suspects("a,bad,o", &format!("b{n}")), at(ms), at(ms));
    }
    assert!(is_refused(&mut ledger, &suspects("c,bad,o", "new"), 70_000));
}

/// Guards against a request that crashes one server after the other, and against refusing it forever.
#[test]
fn crashing_request_is_quarantined_for_a_while() {
    let mut ledger = CrashLedger::default();
    let request = suspects("", "body");
    for crash in 0..3 {
        assert!(!is_refused(&mut ledger, &request, crash * 1_000), "{crash} crashes");
        ledger.record_loss(&server(crash), &request, at(crash * 1_000), at(crash * 1_000));
    }
    assert!(is_refused(&mut ledger, &request, 2_000 + CONFIRMED_MS));
    assert!(!is_refused(&mut ledger, &suspects("", "other"), 2_000 + CONFIRMED_MS));
    assert!(is_refused(&mut ledger, &request, 200_000));
    assert!(!is_refused(&mut ledger, &request, 400_000));
}

/// Guards against a request that crashes several servers within a moment, for example because its caller repeats it at once.
#[test]
fn crashes_under_one_request_count_within_a_second() {
    let mut ledger = CrashLedger::default();
    let request = suspects("", "body");
    (0..3).for_each(|crash| ledger.record_loss(&server(crash), &request, at(100 * crash), at(100 * crash)));
    assert!(is_refused(&mut ledger, &request, 200 + CONFIRMED_MS));
}

/// Guards against a request that crashes server after server and is dropped among the suspects of full servers.
#[test]
fn request_beside_many_others_is_refused() {
    let mut ledger = CrashLedger::default();
    let bad = suspects("a,b,c,d,e,own", "bad");
    for crash in 0..3 {
        let others =
            (0..35).map(|n| suspects(&format!("a{n},b{n},c{n},d{n},e{n},own"), &format!("{crash}-{n}")));
        others.for_each(|other| {
            ledger.record_loss(&server(crash), &other, at(2_000 * crash), at(2_000 * crash))
        });
        ledger.record_loss(&server(crash), &bad, at(2_000 * crash), at(2_000 * crash));
    }
    assert!(is_refused(&mut ledger, &bad, 4_000 + CONFIRMED_MS));
}

/// Guards against a crash that is forgotten because a large group is cut off, which looks like the crash of all its ranks at first.
#[test]
fn crash_is_kept_while_a_large_group_is_cut_off() {
    let mut ledger = CrashLedger::default();
    let bad = suspects("", "bad");
    for crash in 0..3 {
        let ms = 5_000 * crash;
        ledger.record_loss(&server(10_000 + crash), &bad, at(ms), at(ms));
        for rank in 0..600 {
            ledger.record_loss(&server(rank), &suspects("", &format!("{rank}")), at(ms), at(ms + 1_500));
        }
        (0..600).for_each(|rank| ledger.record_report(&server(rank), at(ms + 1_550), at(ms + 1_600)));
    }
    assert!(is_refused(&mut ledger, &bad, 13_000));
}

/// Guards against a request that goes free because a part of prompts that ran beside it explains more crashes.
#[test]
fn request_beside_a_frequent_part_is_refused() {
    let mut ledger = CrashLedger::default();
    let (bad, beside) = (suspects("", "bad"), suspects("a,own", "beside"));
    ledger.record_survival(&beside, RUN, at(0));
    for crash in 0..4 {
        ledger.record_loss(
            &server(crash),
            &suspects("a,own", &format!("{crash}")),
            at(2_000 * crash),
            at(2_000 * crash),
        );
        if crash > 0 {
            ledger.record_loss(&server(crash), &bad, at(2_000 * crash), at(2_000 * crash));
        }
    }
    assert!(is_refused(&mut ledger, &bad, 6_000 + CONFIRMED_MS));
    assert!(!is_refused(&mut ledger, &beside, 6_000 + CONFIRMED_MS));
}

/// Guards against a crash that does not count because the server is back under its id soon.
#[test]
fn response_of_the_next_process_does_not_refute_a_crash() {
    let mut ledger = CrashLedger::default();
    let bad = suspects("", "bad");
    for crash in 0..3 {
        let lost_at = 3_000 * crash;
        ledger.record_loss(&server(crash), &bad, at(lost_at), at(lost_at));
        ledger.record_response(&server(crash), at(lost_at + 2_400), at(lost_at + 2_401), at(lost_at + 2_410));
    }
    assert!(is_refused(&mut ledger, &bad, 6_000 + CONFIRMED_MS));
}

/// Guards against a crash that is refuted by a response that the server sent in the same millisecond, before it crashed.
#[test]
fn response_to_a_request_of_the_same_millisecond_does_not_refute_a_crash() {
    let mut ledger = CrashLedger::default();
    let bad = suspects("", "bad");
    for crash in 0..3 {
        let lost_at = 3_000 * crash + 100;
        ledger.record_loss(&server(crash), &bad, at(lost_at - 50), at(lost_at));
        ledger.record_response(&server(crash), at(lost_at - 90), at(lost_at), at(lost_at));
    }
    assert!(is_refused(&mut ledger, &bad, 6_100 + CONFIRMED_MS));
}

/// Guards against a request that is refused because its connections were reset, while the servers went on with others.
#[test]
fn response_on_an_older_connection_refutes_a_crash() {
    let mut ledger = CrashLedger::default();
    let sound = suspects("", "sound");
    for loss in 0..3 {
        let lost_at = 1_000 + 9_000 * loss;
        ledger.record_loss(&server(loss), &sound, at(lost_at), at(lost_at));
        ledger.record_response(&server(loss), at(lost_at - 500), at(lost_at + 5_000), at(lost_at + 5_010));
    }
    assert!(!is_refused(&mut ledger, &sound, 25_000));
}

quickcheck! {
    /// Guards against a bad part that stays unknown beside other traffic, and against the refusal of sound requests with the
    /// same first parts. Each crash also hits sound requests that have just begun.
    fn bad_part_is_found_among_sound_requests(crashes: Vec<Vec<u8>>, survivals: Vec<u8>) -> TestResult {
        if crashes.len() < 5 {
            return TestResult::discard();
        }
        let crashes = &crashes[..crashes.len().min(MAX_CRASHES)];
        let mut ledger = CrashLedger::default();
        let sound = |first: u8| suspects(&format!("f{},own", first % 8), &format!("sound{first}"));
        // Every first part, and every sound request, is in steady use before the crashes.
        let run = SurvivedRun { ms: 10_000, servers: 3 };
        (0..8).for_each(|first| (0..3).for_each(|ms| ledger.record_survival(&sound(first), run, at(ms))));
        for (n, bystanders) in crashes.iter().enumerate() {
            let ms = 100 + 4_000 * n as u64;
            for first in bystanders.iter().take(MAX_BYSTANDERS) {
                ledger.record_loss(&server(n as u64), &sound(*first), at(ms), at(ms));
            }
            let bad = suspects(&format!("f{},bad,own{n}", n % 8), &format!("bad{n}"));
            ledger.record_loss(&server(n as u64), &bad, at(ms), at(ms));
            survivals.iter().for_each(|first| ledger.record_survival(&sound(*first), RUN, at(ms + 10)));
            ledger.advance(at(ms + CONFIRMED_MS));
        }
        let end = 100 + 4_000 * crashes.len() as u64;
        let is_found = is_refused(&mut ledger, &suspects("f1,bad,new", "new"), end);
        let are_served = (0..8).all(|first| !is_refused(&mut ledger, &suspects(&format!("f{first},own"), "new"), end));
        TestResult::from_bool(is_found && are_served)
    }
}
