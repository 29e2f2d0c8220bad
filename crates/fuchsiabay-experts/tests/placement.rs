//! Placement: every expert has a replica, shares add up to 1, and rebalancing reduces the skew.

use fuchsiabay_base::Timestamp;
use fuchsiabay_experts::{ExpertMap, Placement, Planner, Popularity};

fn zipf(experts: usize, exponent: f64) -> Vec<f64> {
    (0..experts).map(|i| 1e6 / ((i * 37 % experts + 1) as f64).powf(exponent)).collect()
}

fn check_valid(placement: &Placement, experts: u16) {
    for expert in 0..experts {
        let sum: f64 = placement.replicas(expert).iter().map(|replica| replica.1).sum();
        assert!((sum - 1.0).abs() < 1e-9, "shares of expert {expert} add up to {sum}");
        for &(rank, _) in placement.replicas(expert) {
            assert!(placement.slots()[usize::from(rank)].contains(&expert));
        }
    }
    let replicas: usize = (0..experts).map(|expert| placement.replicas(expert).len()).sum();
    assert_eq!(replicas, placement.slots().iter().map(Vec::len).sum::<usize>());
}

/// Runs the planner until it makes no more moves and checks that the skew is then at most `limit`.
fn check(exponent: f64, slow_speed: f64, limit: f64) {
    let tokens = zipf(256, exponent);
    let mut speeds = vec![1.0; 64];
    speeds[5] = slow_speed;
    let mut placement = Placement::round_robin(256, 64, 6);
    let before = placement.skew(&tokens, &speeds);
    for _ in 0..20 {
        let (next, moves) = Planner::default().plan(&placement, &tokens, &speeds);
        check_valid(&next, 256);
        placement = next;
        if moves.is_empty() {
            break;
        }
    }
    let after = placement.skew(&tokens, &speeds);
    assert!(after <= limit && after <= before, "skew {before} before and {after} after");
}

macro_rules! cases {
    ($($name:ident: $exponent:expr, $slow_speed:expr => $limit:expr;)+) => {
        $(#[test] fn $name() { check($exponent, $slow_speed, $limit); })+
    };
}

// The limit is the target skew of 1.10 after convergence.
cases! {
    even_popularity: 0.0, 1.0 => 1.10;
    skewed_popularity: 0.8, 1.0 => 1.10;
    slow_rank: 0.6, 0.7 => 1.10;
}

// Without the threshold, noise would move weights in every round.
#[test]
fn balanced_placement_needs_no_moves() {
    let tokens = vec![1e4; 256];
    let (_, moves) = Planner::default().plan(&Placement::round_robin(256, 64, 6), &tokens, &[1.0; 64]);
    assert_eq!(moves, []);
}

#[test]
fn popularity_halves_after_one_half_life() {
    let mut popularity = Popularity::new(2, 1_000, Timestamp::ZERO);
    popularity.record(Timestamp::ZERO, &[100, 0]);
    popularity.record(Timestamp::from_millis(1_000), &[0, 7]);
    assert_eq!(popularity.tokens(), [50.0, 7.0]);
}

// If the stored shares were imprecise, the ranks would route tokens differently from the plan.
#[test]
fn expert_map_round_trip_preserves_the_placement() {
    let tokens = zipf(256, 0.8);
    let (placement, _) = Planner::default().plan(&Placement::round_robin(256, 64, 6), &tokens, &[1.0; 64]);
    let json = serde_json::to_string(&ExpertMap::from(&placement)).unwrap();
    let stored = Placement::from_map(&serde_json::from_str(&json).unwrap(), 256).unwrap();
    assert_eq!(stored.slots(), placement.slots());
    check_valid(&stored, 256);
    let (old, new) = (placement.skew(&tokens, &[1.0; 64]), stored.skew(&tokens, &[1.0; 64]));
    assert!((old - new).abs() < 0.01, "skew {old} planned and {new} stored");
    assert!(Placement::from_map(&ExpertMap::default(), 256).is_none());
}

/// Guards against a rank that holds two replicas of one expert, which wastes a slot and counts its tokens twice.
#[test]
fn no_rank_holds_an_expert_twice() {
    for (experts, ranks, slots) in
        (1..=9_u16).flat_map(|e| (1..=7_u16).flat_map(move |r| (1..=e).map(move |s| (e, r, s))))
    {
        if ranks * slots < experts {
            continue;
        }
        let placement = Placement::round_robin(experts, ranks, slots);
        for held in placement.slots() {
            let mut unique = held.to_vec();
            unique.sort_unstable();
            unique.dedup();
            assert_eq!(unique.len(), held.len(), "{experts} experts on {ranks} ranks with {slots} slots");
        }
    }
}
