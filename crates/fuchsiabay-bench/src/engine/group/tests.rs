//! A step runs only when all ranks have permits with the same expert map.

use super::{Group, Permit};

/// Adds a permit for each `(rank, map, through_step)`, then runs steps until none can run.
fn check(permits: &[(usize, u64, u64)], step: u64, map: u64, conflicts: u64) {
    let mut group = Group::new(2, 0);
    for &(rank, map, through_step) in permits {
        group
            .add_permit(Permit { rank, ranks: 1, generation: 1, map, through_step })
            .expect("the permit is new");
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

// If the group ran a step with two expert maps or did not count the conflict, tests would not detect a faulty switch of
// expert maps.
cases! {
    group_waits_for_the_rank_with_fewest_steps: [(0, 1, 9), (1, 1, 4)] => 4, 1, 0;
    rank_without_a_permit_stops_the_group: [(0, 1, 9)] => 0, 0, 0;
    ranks_switch_maps_at_the_same_step: [(0, 1, 4), (0, 2, 6), (1, 1, 4), (1, 2, 9)] => 6, 2, 0;
    ranks_switch_maps_at_different_steps: [(0, 1, 4), (0, 2, 6), (1, 1, 5), (1, 2, 9)] => 4, 1, 1;
}

// A permit of an earlier generation of an agent must not apply after one of a later generation, and a permit must not
// apply to only some of its ranks.
#[test]
fn refused_permits_change_nothing() {
    let mut group = Group::new(2, 0);
    let permit = Permit { rank: 0, ranks: 2, generation: 2, map: 1, through_step: 9 };
    group.add_permit(permit).expect("the permit is new");
    for refused in [
        Permit { generation: 1, map: 0, through_step: 20, ..permit },
        Permit { rank: 1, through_step: 20, ..permit },
        Permit { through_step: 9, ..permit },
    ] {
        group.add_permit(refused).expect_err("the permit must be refused");
    }
    while group.advance() {}
    assert_eq!((group.step, group.map), (9, 1));
}
