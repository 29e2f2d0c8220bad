//! Records of backend servers that come late, twice, out of order or not at all.

use fuchsiabay_balancer::{Directory, DirectoryEntry, ServerChange, ServerRecord, ServerState};
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
    for (position, change) in (1..).zip(changes) {
        directory.apply(change.clone(), position, at(0));
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
    directory.apply(heartbeat("a", 1, 1, 1, Ready), 1, at(0));
    directory.apply(heartbeat("b", 2, 1, 1, Ready), 2, at(0));
    directory.note_outage_end(at(5_000));
    directory.replace(Vec::new(), 3, at(5_000));
    assert_eq!(directory.ready(at(6_900)).count(), 2);
    directory.apply(heartbeat("a", 1, 1, 2, Ready), 4, at(6_500));
    let ready: Vec<_> = directory.ready(at(7_100)).map(|record| record.id.to_string()).collect();
    assert_eq!(ready, ["a"]);
    assert!(directory.expire(at(7_100)), "the shards must learn that a server is gone");
}

/// A change from the store or news of a neighbour, with its position in the store's order.
enum Told {
    Store(u64, ServerChange),
    Neighbour(u64, ServerChange),
    Left(u64, ServerChange),
}

fn news(position: u64, change: &ServerChange, has_left: bool) -> DirectoryEntry {
    let ServerChange::Heartbeat(record) = change else {
        unreachable!("neighbours tell records");
    };
    DirectoryEntry { record: record.clone(), has_left, position }
}

/// Applies `changes` and checks which servers may get new work afterwards.
fn check_told(changes: &[Told], ready: &[&str]) {
    let mut directory = Directory::default();
    for change in changes {
        match change {
            Told::Store(position, change) => directory.apply(change.clone(), *position, at(0)),
            Told::Neighbour(position, change) => directory.merge(news(*position, change, false), at(0)),
            Told::Left(position, change) => directory.merge(news(*position, change, true), at(0)),
        };
    }
    assert_eq!(ids_ready(&directory), ready);
}

fn a(seq: u64) -> ServerChange {
    heartbeat("a", 1, 1, seq, Ready)
}

macro_rules! told_cases {
    ($($(#[$doc:meta])* $name:ident($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[test] fn $name() { check_told($($arg),*); })*
    };
}

use Told::{Left, Neighbour, Store};

told_cases! {
    server_that_left_at_a_neighbour_is_not(&[Store(1, a(5)), Left(2, a(5))], &[]);
    /// Guards against a neighbour that lags behind and takes a server away that is back.
    later_record_outweighs_an_older_departure(&[Store(3, a(7)), Left(2, a(5))], &["a"]);
    /// Guards against a server that is used for ever, because this instance had read a later heartbeat of it than the reader
    /// that found it gone after an outage.
    departure_outweighs_a_later_record(&[Store(3, a(7)), Left(9, a(5))], &[]);
    earlier_record_does_not_undo_it(&[Store(3, a(7)), Left(9, a(5)), Neighbour(10, a(6))], &[]);
    /// Guards against a neighbour that lags behind and brings a server back that has left.
    departure_outweighs_an_earlier_record(&[Left(5, a(5)), Neighbour(4, a(6))], &[]);
    removed_server_is_not_brought_back_by_older_news(&[Store(1, a(5)), Store(3, removed("a")), Neighbour(2, a(6))], &[]);
    server_comes_back_after_a_departure(&[Left(2, a(5)), Neighbour(3, a(6))], &["a"]);
    /// Guards against a server that is never used again, because a removal from before its return was read after a neighbour had
    /// told of the return.
    removal_from_before_a_return_that_is_known(
        &[Store(1, a(5)), Neighbour(3, a(6)), Store(2, removed("a")), Store(3, a(6))], &["a"]);
}

fn ids_ready(directory: &Directory) -> Vec<String> {
    let mut ids: Vec<_> = directory.ready(at(1)).map(|record| record.id.to_string()).collect();
    ids.sort();
    ids
}

/// Guards against telling neighbours every heartbeat, and against losing one that matters.
#[test]
fn neighbours_are_told_what_changed() {
    let mut told = Directory::default();
    let mut heard = Directory::default();
    let (mut mark, mut position) = (0, 0);
    let mut tell = |told: &mut Directory, change: ServerChange, count: usize| {
        position += 1;
        told.apply(change, position, at(0));
        let news = told.changes_since(mark, at(0));
        assert_eq!(news.len(), count);
        mark = told.revision();
        for news in news {
            heard.merge(news, at(0));
        }
        assert_eq!(ids_ready(&heard), ids_ready(told));
    };
    tell(&mut told, heartbeat("a", 1, 1, 1, Ready), 1);
    tell(&mut told, heartbeat("a", 1, 1, 2, Ready), 0);
    tell(&mut told, heartbeat("b", 2, 1, 1, Ready), 1);
    tell(&mut told, heartbeat("a", 1, 1, 3, Draining), 1);
    tell(&mut told, heartbeat("c", 2, 2, 1, Ready), 2);
    tell(&mut told, removed("c"), 1);
    tell(&mut told, removed("c"), 0);
}

/// Guards against two instances that tell each other the same departures for ever.
#[test]
fn instances_that_know_the_same_come_to_rest() {
    let mut pair = [Directory::default(), Directory::default()];
    let changes = [heartbeat("a", 1, 1, 3, Ready), heartbeat("b", 2, 1, 4, Draining), removed("a")];
    for (position, change) in (1..).zip(changes) {
        pair[0].apply(change, position, at(0));
    }
    let mut marks = [0, 0];
    let mut told = Vec::new();
    for turn in 0..6 {
        let (from, to) = (turn % 2, 1 - turn % 2);
        let news = pair[from].changes_since(marks[from], at(0));
        marks[from] = pair[from].revision();
        told.push(news.len());
        for news in news {
            pair[to].merge(news, at(0));
        }
    }
    assert_eq!(told[3..], [0, 0, 0], "{told:?}");
    assert_eq!(ids_ready(&pair[0]), ids_ready(&pair[1]));
}
