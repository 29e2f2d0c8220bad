//! Switches of expert maps with agent restarts, log outages and aborts. The fake group checks that all ranks run each
//! step under the same map.

mod support;

use std::sync::Arc;

use fuchsiabay_agent::Agent;
use serde_json::json;
use support::{
    FixedConfig,
    group::{GroupHarness, STREAM, dump},
    wait_until,
};

/// A planning interval so long that no placement is planned.
const NO_PLANNING_MS: u64 = 3_600_000;

/// The fault that is injected after map 1 has been proposed for step 60 and before that step runs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    LogOutage,
    LateAbort,
    EarlyAbort,
    RestartBeforeVote,
}

/// Proposes map 1 for step 60, injects `fault`, and compares the maps of steps 59 and 60. Until the switch is decided,
/// the group must run to step 59 and no further.
fn check(fault: Fault, maps: [u64; 2]) {
    smol::block_on(async {
        let (harness, [a, b]) = GroupHarness::start(NO_PLANNING_MS).await;
        harness.group.block_weights(fault != Fault::None);
        let switch = harness.propose_map(&[&a, &b], 1, 60).await;
        harness.group.run_through(59).await;
        if fault != Fault::None {
            let outage = fault == Fault::LogOutage;
            harness.set_log_down(outage);
            harness.group.wait_for_view_reads().await;
            assert_eq!((harness.group.permitted_through(), harness.votes()), ([59, 59], 0));
            harness.set_log_down(false);
        }
        let mut incarnations = vec![a, b];
        let abort = json!({ "kind": "abort", "switch": switch });
        match fault {
            Fault::EarlyAbort => harness.log.append_record(STREAM, abort.clone()),
            Fault::RestartBeforeVote => incarnations.push(harness.start_incarnation(1, 2)),
            _ => harness.group.block_weights(false),
        }
        if fault == Fault::LateAbort {
            harness.wait_for_votes(2).await;
            harness.log.append_record(STREAM, abort);
        }
        harness.group.run_through(90).await;
        assert_eq!([harness.group.map_of(59), harness.group.map_of(60)], maps);
        assert_eq!([harness.group.map_of(1), harness.group.map_of(90)], maps);
    });
}

macro_rules! cases {
    ($($name:ident: $fault:ident => $maps:expr;)+) => {
        $(#[test] fn $name() { check(Fault::$fault, $maps); })+
    };
}

// Guards against a step that two ranks run under different maps, and against a group that stalls forever.
cases! {
    switch_while_steps_run: None => [0, 1];
    log_outage_before_the_hold_step: LogOutage => [0, 1];
    abort_after_commit_has_no_effect: LateAbort => [0, 1];
    abort_before_commit_ends_the_switch: EarlyAbort => [0, 0];
    agent_restarted_between_prepare_and_vote: RestartBeforeVote => [0, 0];
}

// Guards against a log outage that stops the group although no switch is undecided.
#[test]
fn group_keeps_running_while_the_log_is_down() {
    smol::block_on(async {
        let (harness, _agents) = GroupHarness::start(NO_PLANNING_MS).await;
        harness.set_log_down(true);
        harness.group.run_through(100).await;
    });
}

// Guards against a skew in the engine's token counts that causes no switch, and against a planned switch that is
// aborted.
#[test]
fn skewed_popularity_switches_maps() {
    smol::block_on(async {
        let (harness, agents) = GroupHarness::start(1).await;
        let mut step = 1;
        while harness.group.map_of(step) == 0 {
            step += 1;
            harness.group.run_through(step).await;
            // A real step takes longer than an exchange with the log. Here, the test waits for the exchange instead.
            wait_until_read(&agents, &harness).await;
        }
        let kinds: Vec<_> = harness.log.records(STREAM).iter().map(|record| record["kind"].clone()).collect();
        assert!(kinds.contains(&json!("prepare")) && !kinds.contains(&json!("abort")), "{kinds:?}");
    });
}

/// Waits until both agents have read the whole log stream.
async fn wait_until_read(agents: &[Arc<Agent<FixedConfig>>; 2], harness: &GroupHarness) {
    let next = harness.log.records(STREAM).len() as u64;
    wait_until(|| agents.iter().all(|agent| dump(agent)["next_offset"].as_u64() >= Some(next))).await;
}

/// Replaces the second agent while its previous incarnation keeps running without the log, and switches maps.
fn check_previous_incarnation(reports_generations: bool) {
    smol::block_on(async {
        let (harness, [a, old]) = GroupHarness::start(NO_PLANNING_MS).await;
        if !reports_generations {
            harness.group.hide_generations();
        }
        harness.second_log.set_down(true);
        let new = harness.start_incarnation(1, 2);
        wait_until(|| dump(&new)["named"] == true && dump(&a)["generation"] == 3).await;
        let step =
            harness.group.run_until(|| [&a, &new].iter().all(|agent| dump(agent)["confirmed"] == 3)).await;
        harness.propose_map(&[&a, &new], 1, step as u64 + 60).await;
        harness.group.run_through(step + 100).await;
        assert_eq!([harness.group.map_of(step + 59), harness.group.map_of(step + 60)], [0, 1]);
        assert!(dump(&old)["permitted_through"].as_u64() < Some(step as u64 + 60));
        harness.second_log.set_down(false);
        wait_until(|| dump(&old)["displaced"] == true).await;
        harness.group.run_through(step + 150).await;
        assert_eq!(dump(&old)["voted"], json!(null));
    });
}

// Guards against an incarnation that cannot read the log and permits steps under a map that is no longer in force. The
// fake engine does not check generations, so only the agents prevent this.
#[test]
fn previous_incarnation_without_the_log_stops_at_a_later_generation() {
    check_previous_incarnation(true);
}

// As above, with an engine that does not report which generation permitted a step.
#[test]
fn previous_incarnation_without_the_log_stops_at_foreign_permits() {
    check_previous_incarnation(false);
}
