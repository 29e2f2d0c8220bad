//! Checks of groups: which ranks are queried, and what their reports imply for the others.

use fuchsiabay_balancer::{GroupReport, GroupSurvey};
use fuchsiabay_base::{InstanceId, Timestamp};

const RANKS: usize = 192;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000 + ms)
}

fn servers(count: usize) -> Vec<InstanceId> {
    (0..count).map(|i| InstanceId::new(format!("i-{i}"))).collect()
}

fn report(size: usize, is_open: bool) -> Option<GroupReport> {
    Some(GroupReport { group: "g".to_owned(), size, is_open })
}

/// Makes one check, in which the ranks in `silent` do not respond. Returns the number of queries.
fn check(
    survey: &mut GroupSurvey,
    servers: &[InstanceId],
    silent: &[usize],
    is_open: bool,
    now: Timestamp,
) -> usize {
    let queried = survey.next_queries(servers);
    for &i in &queried {
        let answer = if silent.contains(&i) { None } else { report(servers.len(), is_open) };
        survey.record(&servers[i], answer, now);
    }
    queried.len()
}

fn known(count: usize) -> (GroupSurvey, Vec<InstanceId>) {
    let (mut survey, servers) = (GroupSurvey::default(), servers(count));
    for _ in 0..count.div_ceil(32) {
        check(&mut survey, &servers, &[], true, at(0));
    }
    (survey, servers)
}

/// Guards against checks by all instances that use up the processor time of the agents: the agents of 192 ranks received 100
/// queries a second each from 36 instances while a group was closed.
#[test]
fn queries_of_a_check_do_not_grow_with_the_ranks() {
    for count in [1, 16, 32, 64, RANKS, 600] {
        let (mut survey, servers) = known(count);
        assert_eq!(check(&mut survey, &servers, &[], true, at(1)), count.min(32));
    }
}

/// Guards against requests to a group that some ranks report as closed, and against ranks that stay blocked when it opens.
#[test]
fn reports_of_some_ranks_apply_to_the_whole_group() {
    let (mut survey, servers) = known(RANKS);
    for is_open in [false, true] {
        let queried = survey.next_queries(&servers);
        for i in queried.iter() {
            survey.record(&servers[*i], report(RANKS, is_open), at(1));
        }
        let states = survey.open_servers(&servers, &queried);
        assert_eq!(states.len(), RANKS);
        assert!(states.iter().all(|(_, open)| *open == is_open));
    }
}

/// Guards against a dark rank that is found late: callers wait for it until they give up. Consumers abandon a stream after
/// 2 s without an event.
#[test]
fn dark_rank_is_found_within_a_turn() {
    let (mut survey, servers) = known(RANKS);
    for dark in [0, 31, 100, 191] {
        let checks = (1..=RANKS).find(|check_number| {
            check(&mut survey, &servers, &[dark], false, at(*check_number as u64));
            survey.has_unreachable_rank(at(*check_number as u64));
            survey.has_unreachable_rank(at(*check_number as u64 + 5_000))
        });
        assert!(checks.is_some_and(|checks| checks <= RANKS.div_ceil(32) + 1), "{checks:?}");
        let queried = survey.next_queries(&servers);
        assert!(queried.contains(&dark), "a rank that does not respond is queried in every check");
        survey = known(RANKS).0;
    }
}

/// Guards against refusals while all ranks are back, and within the time in which they come back after a restart.
#[test]
fn unreachable_rank_counts_after_the_grace_period_and_until_it_responds() {
    let (mut survey, servers) = known(16);
    check(&mut survey, &servers, &[3], false, at(0));
    assert!(!survey.has_unreachable_rank(at(700)));
    assert!(survey.has_unreachable_rank(at(1_600)));
    check(&mut survey, &servers, &[], true, at(1_700));
    assert!(!survey.has_unreachable_rank(at(1_700)));
}

/// Guards against a group that is taken for complete because another group of the same service has many ranks.
#[test]
fn each_group_must_be_complete() {
    let (mut survey, servers) = (GroupSurvey::default(), servers(16));
    for (i, server) in servers.iter().enumerate() {
        let group = GroupReport { group: format!("g{}", i / 8), size: 8, is_open: i >= 8 };
        survey.record(server, (i != 2).then_some(group), at(0));
    }
    survey.has_unreachable_rank(at(0));
    assert!(survey.has_unreachable_rank(at(900)));
    let queried: Vec<usize> = (0..16).collect();
    let open = survey.open_servers(&servers, &queried);
    assert!(open.iter().all(|(id, is_open)| *is_open == servers[8..].contains(id)), "{open:?}");
}

/// Guards against a survey without any reachable rank: then nothing is known about whether the group is open.
#[test]
fn many_dark_ranks_leave_queries_for_the_others() {
    let (mut survey, servers) = known(RANKS);
    let dark: Vec<usize> = (0..RANKS / 2).collect();
    for i in 0..12 {
        check(&mut survey, &servers, &dark, false, at(i));
    }
    let queried = survey.next_queries(&servers);
    assert!(queried.iter().any(|i| !dark.contains(i)));
}
