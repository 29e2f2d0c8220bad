//! Updates of the directory that arrive late, repeatedly, out of order or not at all.

mod support;

use fuchsiabay_balancer::{Directory, DirectoryEntry, ServerChange, ServerState, StorePosition};
use support::{at, heartbeat, ready_ids, removed};

/// Returns a position in the first epoch of the store.
const fn pos(offset: u64) -> StorePosition {
    StorePosition { epoch: 1, offset }
}

/// Applies `changes` and checks which servers are ready afterwards.
fn check(changes: &[ServerChange], ready: &[&str]) {
    let mut directory = Directory::default();
    for (position, change) in (1..).zip(changes) {
        directory.apply(change.clone(), pos(position), at(0));
    }
    assert_eq!(ready_ids(&directory, at(1)), ready);
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[test] fn $name() { check($($arg),*); })*
    };
}

use ServerState::{Draining, Ready};

cases! {
    registered_server_is_ready(&[heartbeat("a", 1, 1, 1, Ready)], &["a"]);
    draining_server_is_not_ready(&[heartbeat("a", 1, 1, 1, Ready), heartbeat("a", 1, 1, 2, Draining)], &[]);
    removed_server_is_not_ready(&[heartbeat("a", 1, 1, 1, Ready), removed("a")], &[]);
    /// Guards against a delayed heartbeat that makes a draining server ready again.
    older_heartbeat_is_ignored(&[heartbeat("a", 1, 1, 2, Draining), heartbeat("a", 1, 1, 1, Ready)], &[]);
    ready_heartbeat_of_a_draining_incarnation_is_ignored(&[heartbeat("a", 1, 1, 2, Draining), heartbeat("a", 1, 1, 3, Ready)], &[]);
    /// Guards against a restarted server that inherits the state of its previous incarnation.
    restarted_server_is_ready(&[heartbeat("a", 1, 1, 9, Draining), heartbeat("a", 1, 2, 1, Ready)], &["a"]);
    heartbeat_of_an_older_incarnation_is_ignored(&[heartbeat("a", 1, 2, 1, Draining), heartbeat("a", 1, 1, 9, Ready)], &[]);
    delayed_heartbeat_of_a_removed_server_is_ignored(
        &[heartbeat("a", 1, 1, 5, Ready), removed("a"), heartbeat("a", 1, 1, 4, Ready)], &[]);
    /// Guards against requests to a crashed server whose address is already used by another one: 190 were refused on
    /// one day.
    server_is_superseded_at_its_address(&[heartbeat("a", 1, 1, 5, Ready), heartbeat("b", 1, 2, 1, Ready)], &["b"]);
    servers_at_other_addresses_stay(&[heartbeat("a", 1, 1, 5, Ready), heartbeat("b", 2, 2, 1, Ready)], &["a", "b"]);
}

/// Guards against dropping all servers whose entries expired during an outage of the store.
#[test]
fn expired_entries_are_kept_for_two_seconds_after_an_outage() {
    let mut directory = Directory::default();
    directory.apply(heartbeat("a", 1, 1, 1, Ready), pos(1), at(0));
    directory.apply(heartbeat("b", 2, 1, 1, Ready), pos(2), at(0));
    directory.record_outage_end(at(5_000));
    directory.replace(Vec::new(), pos(3), at(5_000));
    assert_eq!(directory.ready(at(6_900)).count(), 2);
    directory.apply(heartbeat("a", 1, 1, 2, Ready), pos(4), at(6_500));
    let ready: Vec<_> = directory.ready(at(7_100)).map(|record| record.id.to_string()).collect();
    assert_eq!(ready, ["a"]);
    assert!(directory.expire(at(7_100)), "the shards must be updated when a server has left");
}

/// A change from the store, or a record or departure from a neighbour, with its position in the store's change log.
enum Input {
    Store(u64, ServerChange),
    Record(u64, ServerChange),
    Departure(u64, ServerChange),
}

fn directory_entry(position: u64, change: &ServerChange, has_left: bool) -> DirectoryEntry {
    let ServerChange::Heartbeat(record) = change else {
        unreachable!("neighbours send records only");
    };
    DirectoryEntry { record: record.clone(), has_left, position: pos(position) }
}

/// Applies `changes` and checks which servers are ready afterwards.
fn check_inputs(changes: &[Input], ready: &[&str]) {
    let mut directory = Directory::default();
    for change in changes {
        match change {
            Input::Store(position, change) => directory.apply(change.clone(), pos(*position), at(0)),
            Input::Record(position, change) => {
                directory.merge(directory_entry(*position, change, false), at(0))
            }
            Input::Departure(position, change) => {
                directory.merge(directory_entry(*position, change, true), at(0))
            }
        };
    }
    assert_eq!(ready_ids(&directory, at(1)), ready);
}

fn a(seq: u64) -> ServerChange {
    heartbeat("a", 1, 1, seq, Ready)
}

macro_rules! input_cases {
    ($($(#[$doc:meta])* $name:ident($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[test] fn $name() { check_inputs($($arg),*); })*
    };
}

use Input::{Departure, Record, Store};

input_cases! {
    departure_from_a_neighbour_removes_the_server(&[Store(1, a(5)), Departure(2, a(5))], &[]);
    /// Guards against a lagging neighbour that removes a server that has returned.
    departure_at_an_older_position_is_ignored(&[Store(3, a(7)), Departure(2, a(5))], &["a"]);
    /// Guards against a server that is never removed, because this instance has read a later heartbeat of it than the
    /// reader that found it missing after an outage.
    departure_at_a_newer_position_overrides_a_later_record(&[Store(3, a(7)), Departure(9, a(5))], &[]);
    older_record_does_not_revert_a_departure(&[Store(3, a(7)), Departure(9, a(5)), Record(10, a(6))], &[]);
    /// Guards against a lagging neighbour that adds a departed server again.
    record_at_an_older_position_does_not_revert_a_departure(&[Departure(5, a(5)), Record(4, a(6))], &[]);
    record_at_an_older_position_does_not_revert_a_removal(&[Store(1, a(5)), Store(3, removed("a")), Record(2, a(6))], &[]);
    server_returns_after_a_departure(&[Departure(2, a(5)), Record(3, a(6))], &["a"]);
    /// Guards against a server that is never used again, because its removal is read from the store after a neighbour
    /// has already sent its return.
    removal_at_an_older_position_is_ignored(
        &[Store(1, a(5)), Record(3, a(6)), Store(2, removed("a")), Store(3, a(6))], &["a"]);
}

/// Guards against sending every heartbeat to the neighbours, and against omitting one that changes the state.
#[test]
fn only_relevant_changes_are_sent_to_neighbours() {
    let mut sender = Directory::default();
    let mut receiver = Directory::default();
    let (mut mark, mut position) = (0, 0);
    let mut send = |sender: &mut Directory, change: ServerChange, count: usize| {
        position += 1;
        sender.apply(change, pos(position), at(0));
        let changes = sender.changes_since(mark, at(0));
        assert_eq!(changes.len(), count);
        mark = sender.revision();
        for entry in changes {
            receiver.merge(entry, at(0));
        }
        assert_eq!(ready_ids(&receiver, at(1)), ready_ids(sender, at(1)));
    };
    send(&mut sender, heartbeat("a", 1, 1, 1, Ready), 1);
    send(&mut sender, heartbeat("a", 1, 1, 2, Ready), 0);
    send(&mut sender, heartbeat("b", 2, 1, 1, Ready), 1);
    send(&mut sender, heartbeat("a", 1, 1, 3, Draining), 1);
    send(&mut sender, heartbeat("c", 2, 2, 1, Ready), 2);
    send(&mut sender, removed("c"), 1);
    send(&mut sender, removed("c"), 0);
}

/// Guards against two instances that send each other the same departures forever.
#[test]
fn exchange_between_instances_converges() {
    let mut pair = [Directory::default(), Directory::default()];
    let changes = [heartbeat("a", 1, 1, 3, Ready), heartbeat("b", 2, 1, 4, Draining), removed("a")];
    for (position, change) in (1..).zip(changes) {
        pair[0].apply(change, pos(position), at(0));
    }
    let mut marks = [0, 0];
    let mut counts = Vec::new();
    for turn in 0..6 {
        let (from, to) = (turn % 2, 1 - turn % 2);
        let changes = pair[from].changes_since(marks[from], at(0));
        marks[from] = pair[from].revision();
        counts.push(changes.len());
        for entry in changes {
            pair[to].merge(entry, at(0));
        }
    }
    assert_eq!(counts[3..], [0, 0, 0], "changes sent per turn: {counts:?}");
    assert_eq!(ready_ids(&pair[0], at(1)), ready_ids(&pair[1], at(1)));
}

/// Guards against a delayed update from a neighbour that removes the server which uses the address now. The clocks of the
/// servers differ, so the later one may state the earlier start.
#[test]
fn delayed_heartbeat_does_not_supersede_a_later_server() {
    let mut directory = Directory::default();
    directory.apply(heartbeat("a", 1, 100, 1, Ready), pos(1), at(0));
    directory.apply(removed("a"), pos(2), at(0));
    directory.apply(heartbeat("b", 1, 90, 1, Ready), pos(3), at(1));
    let ServerChange::Heartbeat(record) = heartbeat("a", 1, 100, 1, Ready) else { unreachable!() };
    directory.merge(DirectoryEntry { record, has_left: false, position: pos(1) }, at(2));
    let ready: Vec<_> = directory.ready(at(3)).map(|record| record.id.to_string()).collect();
    assert_eq!(ready, ["b"]);
}

/// Guards against an instance that never uses a server again: its listing lacks the server, and the neighbour reads the return
/// without having noticed the absence, so that nothing has changed for it.
#[test]
fn neighbours_are_asked_for_all_servers_after_one_was_missing() {
    let (mut reader, mut other) = (Directory::default(), Directory::default());
    for directory in [&mut reader, &mut other] {
        directory.apply(heartbeat("a", 1, 1, 5, Ready), pos(33), at(0));
    }
    let mut mark = reader.revision();
    other.replace(Vec::new(), pos(49), at(100));
    reader.replace(vec![support::record("a", 1, 1, 6, Ready)], pos(52), at(200));
    for ms in (300..4_000).step_by(250) {
        if other.take_recheck(at(ms)) {
            mark = 0;
        }
        for entry in reader.changes_since(mark, at(ms)) {
            other.merge(entry, at(ms));
        }
        mark = reader.revision();
    }
    assert_eq!(ready_ids(&other, at(4_000)), ["a"]);
}
