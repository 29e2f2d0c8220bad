//! Layouts that the planner finds.

use fuchsiabay_lockstep::{ExpertLayout, LayoutLimits, LayoutPlanner};
use quickcheck::{TestResult, quickcheck};

const LIMITS: LayoutLimits = LayoutLimits { placements: 5, spare: 2 };

/// Returns the layout in which expert `e` is on rank `e` modulo `ranks`.
fn in_turn(experts: u16, ranks: u16) -> Vec<Vec<u16>> {
    (0..ranks).map(|rank| (rank..experts).step_by(ranks.into()).collect()).collect()
}

/// Plans once for 64 experts on 16 ranks and checks the skew that is left.
fn check(tokens: impl Fn(usize) -> f64, paces: &[f64], most_skew: f64) {
    let current = in_turn(64, 16);
    let tokens: Vec<f64> = (0..64).map(tokens).collect();
    let planner = LayoutPlanner::new(LIMITS);
    let set = planner.plan_set(&current, &tokens, paces);
    let (before, after) = (ExpertLayout { sets: vec![current] }, ExpertLayout { sets: vec![set] });
    let plan = planner.summarize(&before, after, &[tokens], paces);
    assert!(plan.skew_after <= most_skew, "skew {} to {}", plan.skew_before, plan.skew_after);
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($($arg:expr),*);)*) => {
        $($(#[$doc])* #[test] fn $name() { check($($arg),*); })*
    };
}

cases! {
    even_demand_stays(|_| 1.0, &[1.0; 16], 1.01);
    /// Guards against one popular expert that sets the time of every pass.
    one_popular_expert(|e| if e == 11 { 20.0 } else { 1.0 }, &[1.0; 16], 1.25);
    popularity_by_rank(|e| 100.0 / (e + 1) as f64, &[1.0; 16], 1.35);
    /// Guards against experts that stay on a rank that is far slower than the others.
    slow_rank(|_| 1.0, &[12.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0], 1.6);
}

quickcheck! {
    /// Guards against a layout that an engine refuses: experts nowhere or twice on a rank, too many on a rank, too many
    /// new ones.
    fn layouts_are_allowed(tokens: Vec<u16>, ranks: u8) -> TestResult {
        let ranks = u16::from(ranks % 14) + 2;
        let experts = tokens.len().min(usize::from(ranks) * 4) as u16;
        if experts < ranks {
            return TestResult::discard();
        }
        let current = in_turn(experts, ranks);
        let tokens: Vec<f64> = tokens.iter().take(experts.into()).map(|tokens| f64::from(*tokens)).collect();
        let paces = vec![1.0; ranks.into()];
        let layout = LayoutPlanner::new(LIMITS).plan_set(&current, &tokens, &paces);
        for (old, new) in current.iter().zip(&layout) {
            let added = new.iter().filter(|expert| !old.contains(expert)).count();
            let is_set = new.windows(2).all(|pair| pair[0] < pair[1]);
            if new.len() > LIMITS.placements || added > LIMITS.spare || !is_set {
                return TestResult::failed();
            }
        }
        let is_placed = |expert: u16| layout.iter().any(|rank| rank.contains(&expert));
        TestResult::from_bool((0..experts).all(is_placed))
    }
}
