//! Proposals of an agent when incarnations change, agents are missing or a switch stays undecided.

use std::{collections::BTreeMap, sync::Arc};

use fuchsiabay_base::{Generation, Timestamp, WriterId};
use fuchsiabay_experts::{Lookahead, MapLedger, MapRecord, MapVersion, Proposer, Rank, SwitchId};

fn writer(name: &str, incarnation: u64) -> WriterId {
    WriterId { instance: name.into(), generation: Generation(incarnation) }
}

fn generation(number: u64, members: &[(&str, u64)]) -> MapRecord {
    let ranks: BTreeMap<_, _> = (0..)
        .zip(members)
        .map(|(rank, &(name, incarnation))| (Rank(rank), writer(name, incarnation)))
        .collect();
    MapRecord::Generation { generation: number, ranks }
}

fn prepare(number: u64, map: u64, hold_step: u64) -> MapRecord {
    MapRecord::Prepare { generation: number, map: MapVersion(map), hold_step, content: Arc::default() }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Checks what incarnation `incarnation` of agent `name` with rank `rank` proposes 20 s after it read each list of
/// records. The group has run step 40.
fn check(name: &str, incarnation: u64, rank: u16, reads: &[&[MapRecord]], expected: &[Option<MapRecord>]) {
    let mut proposer = Proposer::new(
        writer(name, incarnation),
        vec![Rank(rank)],
        2,
        Lookahead::new(10, 60),
        Timestamp::ZERO,
    );
    let mut ledger = MapLedger::starting_at(0);
    let mut now = 0;
    let mut proposed = Vec::new();
    for records in reads {
        for record in *records {
            ledger.apply(ledger.next_offset(), record);
        }
        proposer.observe(at(now), &ledger);
        now += 20_000;
        let record = proposer.propose(at(now), &ledger);
        proposed.push(record.or_else(|| proposer.prepare(at(now), &ledger, 40, Arc::default())));
    }
    assert_eq!(proposed, expected);
}

macro_rules! cases {
    ($($name:ident: $agent:expr, $incarnation:expr, $rank:expr, [$($read:expr),+] => [$($expected:expr),+];)+) => {
        $(#[test] fn $name() { check($agent, $incarnation, $rank, &[$(&$read),+], &[$($expected),+]); })+
    };
}

cases! {
    agent_without_a_generation_proposes_one: "a", 1, 0, [[]] => [Some(generation(1, &[("a", 1)]))];
    // Two agents that start at the same time must not remove each other.
    second_agent_keeps_the_first: "b", 1, 1, [[generation(1, &[("a", 1)])]] =>
        [Some(generation(2, &[("a", 1), ("b", 1)]))];
    new_incarnation_replaces_the_old_one: "a", 2, 0, [[generation(1, &[("a", 1), ("b", 1)])]] =>
        [Some(generation(2, &[("a", 2), ("b", 1)]))];
    // An earlier incarnation that resumes after a freeze must not displace the new one.
    displaced_incarnation_proposes_nothing: "a", 1, 0,
        [[generation(1, &[("a", 1), ("b", 1)])], [generation(2, &[("a", 2), ("b", 1)])]] =>
        [Some(prepare(1, 1, 100)), None];
    incarnation_that_never_held_ranks_yields_to_a_later_one: "a", 1, 0, [[generation(1, &[("a", 2), ("b", 1)])]] =>
        [None];
    agent_displaced_by_another_instance_proposes_nothing: "a", 1, 0,
        [[generation(1, &[("a", 1), ("b", 1)])], [generation(2, &[("c", 1), ("b", 1)])]] =>
        [Some(prepare(1, 1, 100)), None];
    only_the_lowest_rank_prepares: "b", 1, 1, [[generation(1, &[("a", 1), ("b", 1)])]] => [None];
    // A switch that is committed before all ranks have joined would bind ranks that did not vote.
    incomplete_group_does_not_switch: "a", 1, 0, [[generation(1, &[("a", 1)])]] => [None];
    undecided_switch_is_aborted: "b", 1, 1, [[generation(1, &[("a", 1), ("b", 1)]), prepare(1, 1, 100)]] =>
        [Some(MapRecord::Abort { switch: SwitchId(1) })];
    // The deadline of the previous switch must not abort the next one early.
    each_switch_has_its_own_deadline: "a", 1, 0,
        [[generation(1, &[("a", 1), ("b", 1)]), prepare(1, 1, 100)],
         [MapRecord::Abort { switch: SwitchId(1) }, prepare(1, 2, 200)]] =>
        [Some(MapRecord::Abort { switch: SwitchId(1) }), Some(MapRecord::Abort { switch: SwitchId(3) })];
}

// While an append is slow, the same record would otherwise be appended again at each read.
#[test]
fn proposal_is_repeated_only_after_the_retry_delay() {
    let mut proposer = Proposer::new(writer("a", 1), vec![Rank(0)], 1, Lookahead::new(10, 60), at(0));
    let ledger = MapLedger::starting_at(0);
    assert!(proposer.propose(at(0), &ledger).is_some());
    assert_eq!(proposer.propose(at(1_999), &ledger), None);
    assert!(proposer.propose(at(2_000), &ledger).is_some());
}

// Retention would drop the only `Generation` record of a group whose maps never change.
#[test]
fn idle_group_appends_snapshots() {
    let mut proposer = Proposer::new(writer("a", 1), vec![Rank(0)], 1, Lookahead::new(10, 60), at(0));
    let mut ledger = MapLedger::starting_at(0);
    ledger.apply(0, &generation(1, &[("a", 1)]));
    proposer.observe(at(0), &ledger);
    assert_eq!(proposer.propose(at(599_999), &ledger), None);
    assert_eq!(proposer.propose(at(600_000), &ledger), ledger.snapshot());
    proposer.record_snapshot(at(600_500));
    assert_eq!(proposer.propose(at(1_200_000), &ledger), None);
}

// No switch could be committed if permits reached the hold step.
#[test]
fn hold_step_lies_beyond_the_permits_for_any_step_time() {
    for step_us in [0, 1, 2_000, 28_000, 1_000_000, u64::MAX] {
        let lookahead = Lookahead::from_step_us(step_us);
        assert!(lookahead.hold_lead() > lookahead.permit_ahead(), "{step_us} us");
    }
}
