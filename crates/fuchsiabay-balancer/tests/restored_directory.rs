//! A directory that is read from a store which returns from a copy: offsets go back and are given out again.

mod support;

use fuchsiabay_balancer::{
    Directory, DirectoryEntry, ServerChange, ServerRecord, ServerState, StorePosition,
};
use support::{at, heartbeat, ready_ids, record, removed};

use Input::{Change, Departure, Listing, Record};
use ServerState::{Draining, Ready};

/// What the directory learns, with the epoch and the offset of its position.
enum Input {
    Change(u64, u64, ServerChange),
    Listing(u64, u64, Vec<ServerRecord>),
    /// A record from a neighbour.
    Record(u64, u64, ServerRecord),
    /// A departure from a neighbour.
    Departure(u64, u64, ServerRecord),
}

/// How long the last input is awaited before the ready servers are checked, in milliseconds. Missing servers are kept for 2 s.
const SETTLED_MS: u64 = 2_100;

/// Applies `inputs` and checks which servers are ready once all have settled.
fn check(inputs: Vec<Input>, ready: &[&str]) {
    let mut directory = Directory::default();
    for input in inputs {
        apply(&mut directory, input, 0);
    }
    assert_eq!(ready_ids(&directory, at(SETTLED_MS)), ready);
}

fn apply(directory: &mut Directory, input: Input, ms: u64) {
    let pos = |epoch, offset| StorePosition { epoch, offset };
    let mut merge = |record, has_left, position| {
        directory.merge(DirectoryEntry { record, has_left, position }, at(ms));
    };
    match input {
        Record(epoch, offset, record) => merge(record, false, pos(epoch, offset)),
        Departure(epoch, offset, record) => merge(record, true, pos(epoch, offset)),
        Change(epoch, offset, change) => drop(directory.apply(change, pos(epoch, offset), at(ms))),
        Listing(epoch, offset, records) => directory.replace(records, pos(epoch, offset), at(ms)),
    }
}

/// Returns a record of server `a`.
fn a(seq: u64, state: ServerState) -> ServerRecord {
    record("a", 1, 1, seq, state)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($($arg:expr),* $(,)?);)*) => {
        $($(#[$doc])* #[test] fn $name() { check($($arg),*); })*
    };
}

// Guards against a server that stays in use, or out of use, because its last change has a higher offset from before a restore.
cases! {
    drain_at_a_lower_offset_is_applied(vec![
        Change(1, 70, heartbeat("a", 1, 1, 5, Ready)), Change(2, 57, heartbeat("a", 1, 1, 6, Draining))], &[]);
    removal_at_a_lower_offset_is_applied(vec![
        Change(1, 70, heartbeat("a", 1, 1, 5, Ready)), Change(2, 58, removed("a"))], &[]);
    return_at_a_lower_offset_is_applied(vec![
        Change(1, 69, heartbeat("a", 1, 1, 5, Ready)), Change(1, 70, removed("a")),
        Change(2, 58, heartbeat("a", 1, 2, 1, Ready))], &["a"]);
    listing_at_a_lower_offset_is_applied(vec![
        Listing(1, 70, vec![a(5, Ready)]), Listing(2, 58, vec![a(6, Draining)])], &[]);
    server_missing_from_a_listing_at_a_lower_offset_is_removed(vec![
        Listing(1, 70, vec![a(5, Ready)]), Listing(2, 58, vec![])], &[]);
    drain_from_a_neighbour_that_has_seen_the_restore_is_applied(vec![
        Listing(1, 70, vec![a(5, Ready)]), Record(2, 58, a(6, Draining))], &[]);
    departure_from_a_neighbour_that_has_seen_the_restore_is_applied(vec![
        Listing(1, 70, vec![a(5, Ready)]), Departure(2, 58, a(5, Ready))], &[]);
    removal_from_before_the_restore_is_ignored(vec![
        Change(2, 58, heartbeat("a", 1, 1, 6, Ready)), Change(1, 70, removed("a"))], &["a"]);
}

// Guards against a server that is never used again, or a server that has left and is used again, because its record stands in the
// store once more.
cases! {
    server_that_writes_the_same_record_again_is_used(vec![
        Listing(1, 70, vec![a(5, Ready)]), Listing(2, 58, vec![]), Change(2, 60, heartbeat("a", 1, 1, 5, Ready))], &["a"]);
    neighbour_that_has_read_the_same_record_again_is_believed(vec![
        Listing(1, 70, vec![a(5, Ready)]), Listing(2, 58, vec![]), Record(2, 60, a(5, Ready))], &["a"]);
    server_that_left_before_the_restore_stays_unused(vec![
        Change(1, 60, heartbeat("a", 1, 1, 5, Ready)), Change(1, 70, removed("a")), Listing(2, 58, vec![a(5, Ready)]),
        Listing(2, 59, vec![a(5, Ready)])], &[]);
    superseded_server_stays_unused(vec![
        Listing(1, 70, vec![a(5, Ready)]), Change(1, 71, heartbeat("b", 1, 2, 1, Ready)),
        Listing(1, 71, vec![a(5, Ready), record("b", 1, 2, 1, Ready)]),
        Listing(2, 58, vec![a(5, Ready), record("b", 1, 2, 1, Ready)]),
        Listing(2, 59, vec![a(5, Ready), record("b", 1, 2, 1, Ready)])], &["b"]);
    removed_server_with_a_successor_stays_unused(vec![
        Listing(1, 70, vec![a(5, Ready)]), Listing(2, 58, vec![]), Change(2, 59, heartbeat("b", 1, 2, 1, Ready)),
        Change(2, 60, heartbeat("a", 1, 1, 5, Ready))], &["b"]);
}

// Guards against a server that drains or has left and is used again, because an instance that starts after the restore reads its
// record from the copy, and against older news that overrides newer records.
cases! {
    drain_known_from_before_the_restore_is_applied(vec![
        Listing(2, 58, vec![a(5, Ready)]), Record(1, 70, a(7, Draining))], &[]);
    departure_known_from_before_the_restore_is_applied(vec![
        Listing(2, 58, vec![a(5, Ready)]), Departure(1, 70, a(7, Draining))], &[]);
    departure_of_the_same_record_is_applied(vec![
        Listing(2, 58, vec![a(5, Ready)]), Departure(1, 70, a(5, Ready)), Listing(2, 59, vec![a(5, Ready)])], &[]);
    departure_of_an_earlier_record_is_ignored(vec![
        Listing(2, 58, vec![a(8, Ready)]), Departure(1, 70, a(7, Ready))], &["a"]);
    departure_of_an_earlier_incarnation_is_ignored(vec![
        Listing(2, 58, vec![record("a", 1, 2, 1, Ready)]), Departure(1, 70, a(7, Ready))], &["a"]);
    server_that_runs_on_returns_after_a_departure_from_before_the_restore(vec![
        Listing(2, 58, vec![a(5, Ready)]), Departure(1, 70, a(7, Ready)), Change(2, 60, heartbeat("a", 1, 1, 8, Ready))], &["a"]);
    record_from_before_the_restore_does_not_revert_a_departure(vec![
        Listing(1, 50, vec![a(5, Ready)]), Departure(2, 58, a(5, Ready)), Record(1, 70, a(6, Ready))], &[]);
}

/// Applies `early` to one instance, and `late` to another one that has sent everything before. Checks which servers are ready at
/// the first one after it has received what changed.
fn check_exchange(early: Vec<Input>, before: Vec<Input>, late: Vec<Input>, ready: &[&str]) {
    let (mut receiver, mut sender) = (Directory::default(), Directory::default());
    before.into_iter().for_each(|input| apply(&mut sender, input, 0));
    let mark = sender.revision();
    early.into_iter().for_each(|input| apply(&mut receiver, input, 0));
    late.into_iter().for_each(|input| apply(&mut sender, input, 0));
    for entry in sender.changes_since(mark, at(SETTLED_MS)) {
        receiver.merge(entry, at(SETTLED_MS));
    }
    assert_eq!(ready_ids(&receiver, at(SETTLED_MS)), ready);
}

/// Guards against an instance that drops a server for ever, because it has read a listing from before the server had written its
/// record again and its neighbour sends only what has changed.
#[test]
fn server_that_a_neighbour_lists_after_the_restore_is_used() {
    let before = vec![Listing(1, 70, vec![a(5, Ready)])];
    let early = vec![Listing(1, 70, vec![a(5, Ready)]), Listing(2, 58, vec![])];
    check_exchange(early, before, vec![Listing(2, 60, vec![a(5, Ready)])], &["a"]);
}

/// Guards against an instance that uses a departed server for ever, because the listed record is newer than the one it knows and
/// its neighbour has sent the departure before.
#[test]
fn departure_that_a_neighbour_reads_again_after_the_restore_is_applied() {
    let before = vec![Change(1, 60, heartbeat("a", 1, 1, 15, Ready)), Change(1, 70, removed("a"))];
    let early = vec![Departure(1, 70, a(2, Ready)), Listing(2, 58, vec![a(9, Ready)])];
    check_exchange(early, before, vec![Listing(2, 60, vec![])], &[]);
}

/// Guards against dropping servers that have registered since the copy was made and have not registered again yet.
#[test]
fn servers_missing_after_a_restore_are_kept_for_two_seconds() {
    let mut directory = Directory::default();
    apply(&mut directory, Listing(1, 70, vec![a(5, Ready)]), 0);
    apply(&mut directory, Listing(2, 58, vec![]), 700);
    assert_eq!(ready_ids(&directory, at(2_600)), ["a"]);
    apply(&mut directory, Listing(2, 59, vec![]), 2_600);
    assert!(ready_ids(&directory, at(2_800)).is_empty());
    apply(&mut directory, Change(2, 60, heartbeat("a", 1, 1, 6, Ready)), 9_000);
    apply(&mut directory, Listing(2, 61, vec![]), 9_100);
    assert!(ready_ids(&directory, at(9_101)).is_empty(), "kept although the store was not restored");
}
