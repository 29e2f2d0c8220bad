//! Steps run on one map only.

use super::{Group, Permit};

/// Gives each `(rank, map, through_step)` in turn, then runs what can run.
fn check(permits: &[(usize, u64, u64)], step: u64, map: u64, conflicts: u64) {
    let mut group = Group::new(2, 0);
    for &(rank, map, through_step) in permits {
        group.permit(Permit { rank, ranks: 1, generation: 1, map, through_step }).expect("a new permit");
    }
    while group.advance() {}
    assert!(!group.advance());
    assert_eq!((group.step, group.map, group.map_conflicts), (step, map, conflicts));
}

macro_rules! cases {
    ($($name:ident: $permits:expr => $step:expr, $map:expr, $conflicts:expr;)+) => {
        $(#[test] fn $name() { check(&$permits, $step, $map, $conflicts); })+
    };
}

// A group that ran a step on two maps, or counted no conflict, would hide a broken switch of expert maps.
cases! {
    one_rank_holds_the_group_back: [(0, 1, 9), (1, 1, 4)] => 4, 1, 0;
    a_rank_without_a_permit_stops_all: [(0, 1, 9)] => 0, 0, 0;
    maps_change_at_the_same_step: [(0, 1, 4), (0, 2, 6), (1, 1, 4), (1, 2, 9)] => 6, 2, 0;
    maps_change_at_different_steps: [(0, 1, 4), (0, 2, 6), (1, 1, 5), (1, 2, 9)] => 4, 1, 1;
}

// A former life of an agent must not permit steps after its successor did, and a permit must not reach half its ranks.
#[test]
fn refused_permits_change_nothing() {
    let mut group = Group::new(2, 0);
    let permit = Permit { rank: 0, ranks: 2, generation: 2, map: 1, through_step: 9 };
    group.permit(permit).expect("a new permit");
    for refused in [
        Permit { generation: 1, map: 0, through_step: 20, ..permit },
        Permit { rank: 1, through_step: 20, ..permit },
        Permit { through_step: 9, ..permit },
    ] {
        group.permit(refused).expect_err("a refusal");
    }
    while group.advance() {}
    assert_eq!((group.step, group.map), (9, 1));
}
