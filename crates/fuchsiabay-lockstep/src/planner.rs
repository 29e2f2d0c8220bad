//! Planning of layouts that balance the load with few copies.

use crate::{ExpertLayout, LayoutPlan, set_plan::SetPlan};

/// The minimum of the maximum number of rounds per set. Each round adds or drops replicas on one rank.
const MIN_MAX_ROUNDS: usize = 48;

/// The maximum number of rounds per set, for each rank.
const MAX_ROUNDS_PER_RANK: usize = 2;

/// The lower bound of a slowdown, for ranks that report zero.
const MIN_SLOWDOWN: f64 = 0.1;

/// The limits of an engine for layouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayoutLimits {
    /// The maximum number of experts of a set on a rank.
    pub max_experts: usize,
    /// The maximum number of experts of a set that a new layout may add to a rank.
    pub max_added: usize,
}

/// Plans layouts one set at a time, so that the caller can yield in between.
#[derive(Clone, Debug)]
pub struct LayoutPlanner {
    limits: LayoutLimits,
}

impl LayoutPlanner {
    /// Creates a planner for engines with `limits`.
    pub const fn new(limits: LayoutLimits) -> Self {
        Self { limits }
    }

    /// Returns a better layout of one set of `current`.
    ///
    /// `slowdowns` holds the slowdown factor of each rank, where 1 is normal speed.
    pub fn plan_set(&self, current: &[Vec<u16>], tokens: &[f64], slowdowns: &[f64]) -> Vec<Vec<u16>> {
        let max_rounds = MIN_MAX_ROUNDS.max(MAX_ROUNDS_PER_RANK * current.len());
        let mean = tokens.iter().sum::<f64>() / total_speed(slowdowns);
        let mut plan = SetPlan::new(current, tokens, slowdowns, mean, self.limits);
        for _ in 0..max_rounds {
            if !plan.improve() {
                break;
            }
        }
        plan.into_ranks()
    }

    /// Returns the load of the most loaded rank relative to the mean, averaged over the sets.
    pub fn skew(&self, layout: &ExpertLayout, tokens: &[Vec<f64>], slowdowns: &[f64]) -> f64 {
        mean_skew(layout, tokens, slowdowns)
    }

    /// Evaluates the planned `layout`: its copies, and the skew before and after.
    pub fn evaluate(
        &self,
        current: &ExpertLayout,
        layout: ExpertLayout,
        tokens: &[Vec<f64>],
        slowdowns: &[f64],
    ) -> LayoutPlan {
        LayoutPlan {
            copies: current.copies_by_rank(&layout).iter().sum(),
            skew_before: mean_skew(current, tokens, slowdowns),
            skew_after: mean_skew(&layout, tokens, slowdowns),
            layout,
        }
    }
}

/// Returns the combined speed of all ranks, in multiples of a rank at normal speed.
fn total_speed(slowdowns: &[f64]) -> f64 {
    slowdowns.iter().map(|slowdown| 1.0 / slowdown.max(MIN_SLOWDOWN)).sum::<f64>().max(1.0)
}

fn mean_skew(layout: &ExpertLayout, tokens: &[Vec<f64>], slowdowns: &[f64]) -> f64 {
    let skews = tokens.iter().enumerate().map(|(set, tokens)| {
        let times =
            layout.rank_loads(set, tokens).into_iter().zip(slowdowns).map(|(load, slowdown)| load * slowdown);
        let mean = tokens.iter().sum::<f64>() / total_speed(slowdowns);
        if mean > 0.0 { times.fold(0.0, f64::max) / mean } else { 1.0 }
    });
    skews.sum::<f64>() / tokens.len().max(1) as f64
}
