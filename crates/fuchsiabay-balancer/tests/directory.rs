//! Records of backend servers that come late, twice, out of order or not at all.

use fuchsiabay_balancer::{Directory, ServerChange, ServerRecord, ServerState};
use fuchsiabay_base::{InstanceId, ServiceName, Timestamp, ZoneName};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

fn heartbeat(id: &str, port: u16, born_ms: u64, seq: u64, state: ServerState) -> ServerChange {
    ServerChange::Heartbeat(ServerRecord {
        id: InstanceId::new(id),
        service: ServiceName::new("s"),
        address: ([127, 0, 0, 1], port).into(),
        zone: ZoneName::new("z"),
        slots: 4,
        state,
        born_ms,
        seq,
    })
}

fn removed(id: &str) -> ServerChange {
    ServerChange::Removed(InstanceId::new(id))
}

/// Applies `changes` and checks which servers may get new work afterwards.
fn check(changes: &[ServerChange], ready: &[&str]) {
    let mut directory = Directory::default();
    for change in changes {
        directory.apply(change.clone(), at(0));
    }
    let mut ids: Vec<_> = directory.ready(at(1)).map(|record| record.id.to_string()).collect();
    ids.sort();
    assert_eq!(ids, ready);
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[test] fn $name() { check($($arg),*); })*
    };
}

use ServerState::{Draining, Ready};

cases! {
    registered_server_is_ready(&[heartbeat("a", 1, 1, 1, Ready)], &["a"]);
    draining_server_is_not(&[heartbeat("a", 1, 1, 1, Ready), heartbeat("a", 1, 1, 2, Draining)], &[]);
    removed_server_is_not(&[heartbeat("a", 1, 1, 1, Ready), removed("a")], &[]);
    /// Guards against a delayed heartbeat that brings a leaving server back.
    older_heartbeat_is_ignored(&[heartbeat("a", 1, 1, 2, Draining), heartbeat("a", 1, 1, 1, Ready)], &[]);
    later_heartbeat_of_a_leaving_life_is_ignored(&[heartbeat("a", 1, 1, 2, Draining), heartbeat("a", 1, 1, 3, Ready)], &[]);
    /// Guards against a new life that inherits the state of the former one.
    new_life_is_ready(&[heartbeat("a", 1, 1, 9, Draining), heartbeat("a", 1, 2, 1, Ready)], &["a"]);
    older_life_is_ignored(&[heartbeat("a", 1, 2, 1, Draining), heartbeat("a", 1, 1, 9, Ready)], &[]);
    delayed_heartbeat_of_a_removed_server_is_ignored(
        &[heartbeat("a", 1, 1, 5, Ready), removed("a"), heartbeat("a", 1, 1, 4, Ready)], &[]);
    /// Guards against requests to a server that crashed and whose address another one has: 190 were refused on one day.
    server_is_superseded_at_its_address(&[heartbeat("a", 1, 1, 5, Ready), heartbeat("b", 1, 2, 1, Ready)], &["b"]);
    servers_at_other_addresses_stay(&[heartbeat("a", 1, 1, 5, Ready), heartbeat("b", 2, 2, 1, Ready)], &["a", "b"]);
}

/// Guards against dropping every server whose entry lapsed while the store was away.
#[test]
fn lapsed_entries_have_two_seconds_after_an_outage() {
    let mut directory = Directory::default();
    directory.apply(heartbeat("a", 1, 1, 1, Ready), at(0));
    directory.apply(heartbeat("b", 2, 1, 1, Ready), at(0));
    directory.note_outage_end(at(5_000));
    directory.replace(Vec::new(), at(5_000));
    assert_eq!(directory.ready(at(6_900)).count(), 2);
    directory.apply(heartbeat("a", 1, 1, 2, Ready), at(6_500));
    let ready: Vec<_> = directory.ready(at(7_100)).map(|record| record.id.to_string()).collect();
    assert_eq!(ready, ["a"]);
    assert!(directory.expire(at(7_100)), "the shards must learn that a server is gone");
}
