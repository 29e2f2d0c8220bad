//! Freshness: a process serves only while no newer configuration can be in force.

use fuchsiabay_base::{InstanceId, Timestamp, ZoneName};
use fuchsiabay_config::{Freshness, READERS_PER_ZONE, Readers};

enum Event {
    Confirmed(u64, u64),
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
            Confirmed(at, age) => freshness.confirm(Timestamp::from_millis(at), age),
            LogFailed(at) => freshness.log_failed(Timestamp::from_millis(at)),
            Down(id, at) => freshness.reader_responded(&id.into(), Timestamp::from_millis(at), true),
            Up(id, at) => freshness.reader_responded(&id.into(), Timestamp::from_millis(at), false),
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
    unconfirmed_is_stale: [], 0 => false;
    fresh_before_the_deadline: [Confirmed(10_000, 500)], 15_499 => true;
    stale_at_the_deadline: [Confirmed(10_000, 500)], 15_500 => false;
    // Guards against a false confirmation right after the start of the clock: a neighbour that has no confirmation
    // states the greatest age.
    greatest_age_at_the_start_of_the_clock_is_stale: [Confirmed(10, u64::MAX)], 20 => false;
    confirmation_before_the_start_of_the_clock_counts: [Confirmed(10, 500)], 5_509 => true;
    older_confirmation_changes_nothing: [Confirmed(10_000, 0), Confirmed(11_000, 5_000)], 15_999 => true;
    // Guards against refused requests during an outage for every reader, in which no change can be accepted.
    outage_for_every_reader_is_fresh: [Confirmed(1, 0), LogFailed(90_000), Down("b", 90_000)], 91_000 => true;
    one_reader_with_the_log_ends_the_outage: [Confirmed(1, 0), LogFailed(90_000), Up("b", 90_000)], 91_000 => false;
    // Guards against serving an old version: an unreachable reader may have read a change.
    reader_without_a_report_ends_the_outage: [Confirmed(1, 0), LogFailed(90_000)], 91_000 => false;
    unreachable_reader_ends_the_outage: [LogFailed(90_000), Down("b", 90_000), Unreachable("b")], 91_000 => false;
    outage_report_expires: [LogFailed(93_000), Down("b", 90_000)], 94_000 => false;
    own_failed_read_expires: [LogFailed(90_000), Down("b", 91_000)], 92_000 => false;
}

// Guards against a neighbour that trusts the stated age and serves longer than this process.
#[test]
fn outage_is_stated_as_an_age() {
    let mut freshness = Freshness::new(InstanceId::from("c"));
    let reader = (InstanceId::from("a"), ZoneName::from("z1"));
    freshness.set_readers(&Readers::choose([(&reader.0, &reader.1)]));
    freshness.confirm(Timestamp::from_millis(10_000), 0);
    freshness.reader_responded(&reader.0, Timestamp::from_millis(90_000), true);
    assert_eq!(freshness.age_ms(Timestamp::from_millis(91_000)), Some(3_000));
    assert_eq!(freshness.age_ms(Timestamp::from_millis(95_000)), Some(85_000));
}

// Guards against processes that disagree about the readers, and pull from instances that do not read the log.
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
