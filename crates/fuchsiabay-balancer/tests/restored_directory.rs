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
