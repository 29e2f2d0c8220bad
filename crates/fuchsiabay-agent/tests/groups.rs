//! Switches of expert maps while agents, the log and operators fail. Each step that runs is checked for one map.

mod support;

use std::sync::Arc;

use fuchsiabay_agent::Agent;
use serde_json::json;
use support::{
    FixedConfig,
    group::{GroupHarness, STREAM, dump},
    until,
};

/// Far enough that no placement is planned.
const NEVER_MS: u64 = 3_600_000;

/// What goes wrong between the proposal of map 1 from step 60 on and the steps around it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    LogOutage,
    LateAbort,
    EarlyAbort,
    RestartBeforeVote,
}

/// Has map 1 proposed for step 60 in the face of `fault`, and compares the maps of the steps 59 and 60. Before it is
/// decided, the group must run to step 59 and no further.
fn check(fault: Fault, maps: [u64; 2]) {
    smol::block_on(async {
        let (harness, [a, b]) = GroupHarness::start(NEVER_MS).await;
        harness.group.block_weights(fault != Fault::None);
        let switch = harness.prepare(&[&a, &b], 1, 60).await;
        harness.group.run(59).await;
        if fault != Fault::None {
            let outage = fault == Fault::LogOutage;
            harness.set_log_down(outage);
            harness.group.wait_for_looks().await;
            assert_eq!((harness.group.permitted(), harness.votes()), ([59, 59], 0));
            harness.set_log_down(false);
        }
        let mut lives = vec![a, b];
        let abort = json!({ "kind": "abort", "switch": switch });
        match fault {
            Fault::EarlyAbort => harness.log.put(STREAM, abort.clone()),
            Fault::RestartBeforeVote => lives.push(harness.next_life(1, 2)),
            _ => harness.group.block_weights(false),
        }
        if fault == Fault::LateAbort {
            harness.wait_for_votes(2).await;
            harness.log.put(STREAM, abort);
        }
        harness.group.run(90).await;
        assert_eq!([harness.group.map_of(59), harness.group.map_of(60)], maps);
        assert_eq!([harness.group.map_of(1), harness.group.map_of(90)], maps);
    });
}

macro_rules! cases {
    ($($name:ident: $fault:ident => $maps:expr;)+) => {
        $(#[test] fn $name() { check(Fault::$fault, $maps); })+
    };
}

// Guards against steps of which two ranks use different maps, and against a group that stands still for ever.
cases! {
    switch_under_steps: None => [0, 1];
    log_outage_in_the_window: LogOutage => [0, 1];
    abort_after_the_commit_is_void: LateAbort => [0, 1];
    abort_before_the_commit_ends_the_switch: EarlyAbort => [0, 0];
    agent_restarted_between_prepare_and_vote: RestartBeforeVote => [0, 0];
}

// While no switch is undecided, an outage of the log must not stop the group.
#[test]
fn group_runs_on_while_the_log_is_down() {
    smol::block_on(async {
        let (harness, _agents) = GroupHarness::start(NEVER_MS).await;
        harness.set_log_down(true);
        harness.group.run(100).await;
    });
}

// The agent plans from the engine's counts, and the switch is committed without a stop of the group.
#[test]
fn skewed_popularity_switches_maps() {
    smol::block_on(async {
        let (harness, agents) = GroupHarness::start(1).await;
        let mut step = 1;
        while harness.group.map_of(step) == 0 {
            step += 1;
            harness.group.run(step).await;
            // A real step takes longer than the exchange with the log; the test waits for the exchange instead.
            settle(&agents, &harness).await;
        }
        let kinds: Vec<_> = harness.log.records(STREAM).iter().map(|record| record["kind"].clone()).collect();
        assert!(kinds.contains(&json!("prepare")) && !kinds.contains(&json!("abort")), "{kinds:?}");
    });
}

/// Waits until both agents have read the whole stream.
async fn settle(agents: &[Arc<Agent<FixedConfig>>; 2], harness: &GroupHarness) {
    let next = harness.log.records(STREAM).len() as u64;
    until(|| agents.iter().all(|agent| dump(agent)["next_offset"].as_u64() >= Some(next))).await;
}

/// Replaces the second agent while its first life goes on without the log, and switches maps.
fn check_former_life(tells_generations: bool) {
    smol::block_on(async {
        let (harness, [a, old]) = GroupHarness::start(NEVER_MS).await;
        if !tells_generations {
            harness.group.hide_generations();
        }
        harness.second_log.set_down(true);
        let new = harness.next_life(1, 2);
        until(|| dump(&new)["named"] == true && dump(&a)["generation"] == 3).await;
        let step =
            harness.group.run_until(|| [&a, &new].iter().all(|agent| dump(agent)["confirmed"] == 3)).await;
        harness.prepare(&[&a, &new], 1, step as u64 + 60).await;
        harness.group.run(step + 100).await;
        assert_eq!([harness.group.map_of(step + 59), harness.group.map_of(step + 60)], [0, 1]);
        assert!(dump(&old)["permitted_through"].as_u64() < Some(step as u64 + 60));
        harness.second_log.set_down(false);
        until(|| dump(&old)["displaced"] == true).await;
        harness.group.run(step + 150).await;
        assert_eq!(dump(&old)["voted"], json!(null));
    });
}

// A life that cannot read the log would permit steps under the map that the group has left. The engine refuses nothing
// here, so the agents alone keep it from that.
#[test]
fn former_life_without_the_log_stops_at_a_later_generation() {
    check_former_life(true);
}

// Here the engine does not even tell which generation permitted a step.
#[test]
fn former_life_without_the_log_stops_at_foreign_permits() {
    check_former_life(false);
}
