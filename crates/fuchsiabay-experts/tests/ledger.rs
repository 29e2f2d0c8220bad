//! All ranks use the same expert map in every step, despite reordered records, restarts of agents and gaps in the log.

use std::{collections::BTreeMap, sync::Arc};

use fuchsiabay_base::{Generation, WriterId};
use fuchsiabay_experts::{MapLedger, MapRecord, MapVersion, Rank, StepGate, SwitchId};

fn writer(name: &str) -> WriterId {
    WriterId { instance: name.into(), generation: Generation(1) }
}

fn generation(number: u64, names: &[&str]) -> MapRecord {
    let ranks: BTreeMap<_, _> =
        names.iter().enumerate().map(|(i, name)| (Rank(i as u16), writer(name))).collect();
    MapRecord::Generation { generation: number, ranks }
}

fn prepare(number: u64, map: u64, hold_step: u64) -> MapRecord {
    MapRecord::Prepare { generation: number, map: MapVersion(map), hold_step, content: Arc::default() }
}

fn vote(switch: u64, number: u64, name: &str) -> MapRecord {
    MapRecord::Vote { switch: SwitchId(switch), generation: number, writer: writer(name) }
}

fn abort(switch: u64) -> MapRecord {
    MapRecord::Abort { switch: SwitchId(switch) }
}

fn ledger(records: &[MapRecord]) -> MapLedger {
    let mut ledger = MapLedger::starting_at(0);
    for (offset, record) in records.iter().enumerate() {
        ledger.apply(offset as u64, record);
    }
    ledger
}

/// Checks the map of step 100 and whether a switch is undecided after `records`.
fn check(records: &[MapRecord], map_at_step_100: u64, pending: bool) {
    let ledger = ledger(records);
    assert_eq!(ledger.map_at_step(100).map(|(map, _)| map), Some(MapVersion(map_at_step_100)));
    assert_eq!(ledger.pending().is_some(), pending);
}

macro_rules! cases {
    ($($name:ident: $records:expr => $map:expr, $pending:expr;)+) => {
        $(#[test] fn $name() { check(&$records, $map, $pending); })+
    };
}

cases! {
    first_generation_uses_map_0: [generation(1, &["a", "b"])] => 0, false;
    one_vote_of_two_does_not_commit: [generation(1, &["a", "b"]), prepare(1, 1, 100), vote(1, 1, "a")] => 0, true;
    all_votes_commit:
        [generation(1, &["a", "b"]), prepare(1, 1, 100), vote(1, 1, "a"), vote(1, 1, "b")] => 1, false;
    repeated_vote_counts_once:
        [generation(1, &["a", "b"]), prepare(1, 1, 100), vote(1, 1, "a"), vote(1, 1, "a")] => 0, true;
    vote_of_a_non_member_is_ignored:
        [generation(1, &["a", "b"]), prepare(1, 1, 100), vote(1, 1, "a"), vote(1, 1, "c")] => 0, true;
    // A late vote must not revive a switch that other readers saw aborted.
    vote_after_the_abort_is_ignored:
        [generation(1, &["a", "b"]), prepare(1, 1, 100), vote(1, 1, "a"), abort(1), vote(1, 1, "b")] => 0, false;
    // A late abort must not undo a switch that ranks already use.
    abort_after_the_commit_is_ignored:
        [generation(1, &["a"]), prepare(1, 1, 100), vote(1, 1, "a"), abort(1)] => 1, false;
    // The agent that takes over a rank has made no promise for the switch.
    new_generation_cancels_the_switch:
        [generation(1, &["a", "b"]), prepare(1, 1, 100), vote(1, 1, "a"), generation(2, &["a", "c"]), vote(1, 1, "b"),
         vote(1, 2, "c")] => 0, false;
    prepare_during_an_undecided_switch_is_ignored:
        [generation(1, &["a"]), prepare(1, 1, 100), prepare(1, 2, 90), vote(2, 1, "a")] => 0, true;
    // An engine that loaded the weights of the aborted map would run them under the same version.
    version_of_an_aborted_map_is_not_reused:
        [generation(1, &["a"]), prepare(1, 1, 90), abort(1), prepare(1, 1, 95), vote(3, 1, "a")] => 0, false;
    repeated_generation_number_is_ignored: [generation(1, &["a"]), generation(1, &["b"])] => 0, false;
}

#[test]
fn gate_holds_at_an_undecided_switch_and_permits_steps_after_the_commit() {
    let records = [generation(1, &["a", "b"]), prepare(1, 1, 100), vote(1, 1, "a"), vote(1, 1, "b")];
    let mut gate = StepGate::new(writer("a"));
    let undecided = ledger(&records[..3]);
    assert_eq!(gate.permit(&undecided, 90, 64).map(|permit| permit.through), Some(99));
    assert_eq!(gate.permit(&undecided, 100, 64), None);
    let committed = ledger(&records);
    let permit = gate.permit(&committed, 100, 64).unwrap();
    assert_eq!((permit.map, permit.through), (MapVersion(1), 163));
}

// A rank that was already permitted to run the hold step under the old map must not vote.
#[test]
fn gate_does_not_vote_after_it_permitted_the_hold_step() {
    let mut gate = StepGate::new(writer("a"));
    gate.record_weights_loaded(MapVersion(1));
    gate.permit(&ledger(&[generation(1, &["a"])]), 90, 64).unwrap();
    assert_eq!(gate.vote(&ledger(&[generation(1, &["a"]), prepare(1, 1, 100)])), None);
}

#[test]
fn gate_votes_only_after_the_weights_are_loaded() {
    let undecided = ledger(&[generation(1, &["a"]), prepare(1, 1, 100)]);
    let mut gate = StepGate::new(writer("a"));
    assert_eq!(gate.vote(&undecided), None);
    gate.record_weights_loaded(MapVersion(1));
    assert_eq!(gate.vote(&undecided), Some(vote(1, 1, "a")));
}

// An earlier incarnation may have permitted the hold step under the old map.
#[test]
fn restarted_gate_does_not_vote_for_a_step_it_may_have_permitted_before() {
    let undecided = ledger(&[generation(1, &["a"]), prepare(1, 1, 100)]);
    for (permitted_through, votes) in [(99, true), (100, false)] {
        let mut gate = StepGate::new(writer("a"));
        gate.record_weights_loaded(MapVersion(1));
        gate.assume_permitted_through(permitted_through);
        assert_eq!(
            gate.vote(&undecided).is_some(),
            votes,
            "earlier incarnation permitted up to {permitted_through}"
        );
    }
}

// An earlier incarnation of the agent may have voted, so a new one waits for a generation that names it.
#[test]
fn gate_of_a_non_member_permits_nothing() {
    let mut gate = StepGate::new(writer("c"));
    assert_eq!(gate.permit(&ledger(&[generation(1, &["a", "b"])]), 0, 64), None);
}

#[test]
fn only_a_snapshot_that_covers_the_dropped_records_restores_the_state() {
    let records = [generation(1, &["a"]), prepare(1, 1, 100), vote(1, 1, "a"), prepare(1, 2, 200)];
    let full = ledger(&records);
    let snapshot = full.snapshot().unwrap();

    let mut incomplete = MapLedger::starting_at(4);
    let old = ledger(&records[..1]).snapshot().unwrap();
    assert!(!incomplete.apply(4, &old) && !incomplete.is_complete());

    incomplete.apply(5, &vote(3, 1, "a"));
    // The snapshot covers offsets up to 3 and is read after the vote at offset 4, which still counts.
    let mut reader = MapLedger::starting_at(4);
    reader.apply(4, &vote(3, 1, "a"));
    assert!(reader.apply(5, &snapshot) && reader.is_complete());
    assert_eq!(reader.map_at_step(200).map(|(map, _)| map), Some(MapVersion(2)));
}

#[test]
fn gap_in_the_offsets_makes_the_state_unknown() {
    let mut reader = ledger(&[generation(1, &["a"])]);
    reader.apply(7, &abort(3));
    assert!(!reader.is_complete());
    assert_eq!(StepGate::new(writer("a")).permit(&reader, 0, 64), None);
}

// A reader that was frozen for longer than the retention would keep using a map that the others no longer use.
#[test]
fn dropped_records_make_the_state_unknown() {
    let mut reader = ledger(&[generation(1, &["a"])]);
    reader.record_first_retained(1);
    assert!(reader.is_complete());
    reader.record_first_retained(3);
    let stale = ledger(&[generation(1, &["a"]), abort(0)]).snapshot().unwrap();
    assert!(!reader.apply(3, &stale) && !reader.is_complete());
    reader.skip(4);
    assert_eq!(reader.next_offset(), 5);
}

// A record that cannot be read back from the log would hold the group forever.
#[test]
fn records_round_trip_through_json() {
    let mut full = ledger(&[generation(1, &["a", "b"]), prepare(1, 1, 100), vote(1, 1, "a")]);
    let pending = full.snapshot().unwrap();
    full.apply(3, &vote(1, 1, "b"));
    let records = [generation(1, &["a", "b"]), prepare(1, 1, 100), vote(1, 1, "a"), abort(1), pending];
    for record in records.into_iter().chain(full.snapshot()) {
        let json = serde_json::to_value(&record).unwrap();
        assert_eq!(serde_json::from_value::<MapRecord>(json).unwrap(), record);
    }
}
