//! A process serves only while nothing newer can be in force.

use fuchsiabay_base::{InstanceId, Timestamp, ZoneName};
use fuchsiabay_config::{Freshness, READERS_PER_ZONE, Readers};

enum Event {
    Proved(u64, u64),
    LogFailed(u64),
    Down(&'static str, u64),
    Up(&'static str, u64),
    Unreachable(&'static str),
}
use Event::*;

fn check(events: &[Event], now: u64, expected: bool) {
    let ids = [("a", "z1"), ("b", "z2")].map(|(id, zone)| (InstanceId::from(id), ZoneName::from(zone)));
    let mut freshness = Freshness::new(InstanceId::from("a"));
    freshness.set_readers(&Readers::choose(ids.iter().map(|(id, zone)| (id, zone))));
    for event in events {
        match *event {
            Proved(at, age) => freshness.confirm(Timestamp::from_millis(at), age),
            LogFailed(at) => freshness.log_failed(Timestamp::from_millis(at)),
            Down(id, at) => freshness.reader_answered(&id.into(), Timestamp::from_millis(at), true),
            Up(id, at) => freshness.reader_answered(&id.into(), Timestamp::from_millis(at), false),
            Unreachable(id) => freshness.reader_unreachable(&id.into()),
        }
    }
    assert_eq!(freshness.is_fresh(Timestamp::from_millis(now)), expected);
}

macro_rules! cases {
    ($($name:ident: $events:expr, $now:expr => $expected:expr;)+) => {
        $(#[test] fn $name() { check(&$events, $now, $expected); })+
    };
}

cases! {
    never_proved_is_stale: [], 0 => false;
    fresh_within_the_window: [Proved(10_000, 500)], 15_499 => true;
    stale_at_the_deadline: [Proved(10_000, 500)], 15_500 => false;
    // A neighbour without a proof states the greatest age; right after the start of the clock this must not count.
    no_proof_at_the_start_of_the_clock: [Proved(10, u64::MAX)], 20 => false;
    proof_before_the_start_of_the_clock: [Proved(10, 500)], 5_509 => true;
    older_proof_changes_nothing: [Proved(10_000, 0), Proved(11_000, 5_000)], 15_999 => true;
    // During an outage for everybody nothing can be accepted.
    outage_of_all_keeps_serving: [Proved(1, 0), LogFailed(90_000), Down("b", 90_000)], 91_000 => true;
    one_reader_with_the_log_ends_it: [Proved(1, 0), LogFailed(90_000), Up("b", 90_000)], 91_000 => false;
    // A reader that cannot be asked may have read a change.
    silent_reader_ends_it: [Proved(1, 0), LogFailed(90_000)], 91_000 => false;
    unreachable_reader_ends_it: [LogFailed(90_000), Down("b", 90_000), Unreachable("b")], 91_000 => false;
    report_expires: [LogFailed(93_000), Down("b", 90_000)], 94_000 => false;
    own_failure_expires: [LogFailed(90_000), Down("b", 91_000)], 92_000 => false;
}

// A neighbour that trusts the age must not serve longer than this process.
#[test]
fn outage_is_relayed_as_an_age() {
    let mut freshness = Freshness::new(InstanceId::from("c"));
    let reader = (InstanceId::from("a"), ZoneName::from("z1"));
    freshness.set_readers(&Readers::choose([(&reader.0, &reader.1)]));
    freshness.confirm(Timestamp::from_millis(10_000), 0);
    freshness.reader_answered(&reader.0, Timestamp::from_millis(90_000), true);
    assert_eq!(freshness.age_ms(Timestamp::from_millis(91_000)), Some(3_000));
    assert_eq!(freshness.age_ms(Timestamp::from_millis(95_000)), Some(85_000));
}

// Processes that disagree about the readers would ask instances that know nothing.
#[test]
fn readers_do_not_depend_on_the_order_of_the_list() {
    let ids: Vec<_> =
        (0..9).map(|i| (InstanceId::new(format!("e{i}")), ZoneName::new(format!("z{}", i % 3)))).collect();
    let forward = Readers::choose(ids.iter().map(|(id, zone)| (id, zone)));
    let backward = Readers::choose(ids.iter().rev().map(|(id, zone)| (id, zone)));
    assert_eq!(forward, backward);
    assert_eq!(forward.iter().count(), 3 * READERS_PER_ZONE);
    assert!(forward.in_zone(&"z1".into()).iter().all(|id| forward.contains(id)));
}
