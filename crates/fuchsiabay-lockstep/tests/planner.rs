//! Layouts that the planner finds.

use fuchsiabay_lockstep::{ExpertLayout, LayoutLimits, LayoutPlan, LayoutPlanner};
use quickcheck::{TestResult, quickcheck};

const LIMITS: LayoutLimits = LayoutLimits { max_experts: 5, max_added: 2 };

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
    let plan = planner.evaluate(&before, after, &[tokens], paces);
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
            if new.len() > LIMITS.max_experts || added > LIMITS.max_added || !is_set {
                return TestResult::failed();
            }
        }
        let is_placed = |expert: u16| layout.iter().any(|rank| rank.contains(&expert));
        TestResult::from_bool((0..experts).all(is_placed))
    }
}

/// Checks whether a switch from skew `before` to `after` is worth it, in hundredths, where a step takes `step_part` percent of the
/// time between two events.
fn check_worth(before: u32, after: u32, copies: usize, step_part: u32, is_calm: bool, expected: bool) {
    let part = |hundredths: u32| f64::from(hundredths) / 100.0;
    let layout = ExpertLayout { sets: Vec::new() };
    let plan = LayoutPlan { layout, copies, skew_before: part(before), skew_after: part(after) };
    assert_eq!(plan.is_worthwhile(part(step_part), is_calm), expected);
}

macro_rules! worth_cases {
    ($($(#[$doc:meta])* $name:ident($($arg:expr),*);)*) => {
        $($(#[$doc])* #[test] fn $name() { check_worth($($arg),*); })*
    };
}

worth_cases! {
    long_steps_are_worth_a_switch(130, 115, 9, 80, true, true);
    /// Guards against copies that bring nothing: on quiet days they cost 0.013 of the worth.
    short_steps_are_not(130, 115, 9, 30, true, false);
    high_skew_is_worth_it_at_short_steps(160, 115, 9, 30, true, true);
    /// Guards against a shift of demand that waits for the pause after the last switch.
    urgent_skew_does_not_wait(180, 115, 9, 30, false, true);
    others_wait(160, 115, 9, 80, false, false);
    small_gains_are_not_worth_it(160, 140, 9, 80, true, false);
    layout_without_copies_is_none(160, 115, 0, 80, true, false);
}
