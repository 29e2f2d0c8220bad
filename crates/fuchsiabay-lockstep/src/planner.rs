//! Planning of layouts that balance the load with few copies.

use crate::{ExpertLayout, LayoutPlan};

/// The maximum number of rounds per set. Each round adds or drops replicas on one rank.
const MAX_ROUNDS: usize = 48;

/// The amount by which a round must lower the imbalance per copied expert, relative to the squared mean load. Smaller gains
/// do not justify the copy.
const GAIN_PER_COPY: f64 = 0.025;

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

/// The working state of the plan for one set.
struct SetPlan<'a> {
    current: &'a [Vec<u16>],
    ranks: Vec<Vec<u16>>,
    tokens: &'a [f64],
    slowdowns: &'a [f64],
    counts: Vec<u32>,
    /// The load of each rank: its tokens times its slowdown.
    loads: Vec<f64>,
    /// The load of every rank under perfect balance.
    mean: f64,
    limits: LayoutLimits,
}

/// A change of the experts on one rank: a replica that is added, a replica that is removed, or both.
#[derive(Clone, Copy, Debug)]
struct Change {
    rank: usize,
    added: Option<u16>,
    removed: Option<u16>,
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
        let mut plan = SetPlan::new(current, tokens, slowdowns, self.limits);
        for _ in 0..MAX_ROUNDS {
            let Some(change) = plan.best_change() else {
                break;
            };
            plan.apply(change);
        }
        plan.ranks.iter_mut().for_each(|rank| rank.sort_unstable());
        plan.ranks
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

impl<'a> SetPlan<'a> {
    fn new(current: &'a [Vec<u16>], tokens: &'a [f64], slowdowns: &'a [f64], limits: LayoutLimits) -> Self {
        let mut counts = vec![0; tokens.len()];
        for &expert in current.iter().flatten() {
            counts[usize::from(expert)] += 1;
        }
        let mean = tokens.iter().sum::<f64>() / total_speed(slowdowns);
        let mut plan = Self {
            current,
            ranks: current.to_vec(),
            tokens,
            slowdowns,
            counts,
            loads: Vec::new(),
            mean,
            limits,
        };
        plan.loads = (0..plan.ranks.len()).map(|rank| plan.load_of(rank)).collect();
        plan
    }

    fn share(&self, expert: u16) -> f64 {
        let i = usize::from(expert);
        self.tokens[i] / f64::from(self.counts[i].max(1))
    }

    fn load_of(&self, rank: usize) -> f64 {
        self.ranks[rank].iter().map(|expert| self.share(*expert)).sum::<f64>() * self.slowdowns[rank]
    }

    /// Returns the change with the largest net gain, if one lowers the imbalance by more than its copy costs.
    fn best_change(&self) -> Option<Change> {
        let slowest = (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let before = self.imbalance(&self.loads);
        let mut best: Option<(f64, Change)> = None;
        for change in self.candidates(slowest) {
            let after = self.imbalance(&self.loads_after(change));
            let copy_cost = if self.is_copy(change) { GAIN_PER_COPY * self.mean * self.mean } else { 0.0 };
            let gain = before - after - copy_cost;
            if gain > 0.0 && best.as_ref().is_none_or(|(best_gain, _)| gain > *best_gain) {
                best = Some((gain, change));
            }
        }
        best.map(|(_, change)| change)
    }

    /// Returns the changes that relieve `slowest`: new replicas of its experts on other ranks, or dropped replicas of its
    /// own.
    fn candidates(&self, slowest: usize) -> Vec<Change> {
        let mut changes = Vec::new();
        for &expert in &self.ranks[slowest] {
            if self.counts[usize::from(expert)] > 1 {
                changes.push(Change { rank: slowest, added: None, removed: Some(expert) });
            }
            for rank in (0..self.ranks.len()).filter(|rank| *rank != slowest) {
                self.push_replicas(rank, expert, &mut changes);
            }
        }
        changes
    }

    fn push_replicas(&self, rank: usize, expert: u16, changes: &mut Vec<Change>) {
        let experts = &self.ranks[rank];
        if self.loads[rank] >= self.mean || experts.contains(&expert) || !self.may_add(rank, expert) {
            return;
        }
        if experts.len() < self.limits.max_experts {
            changes.push(Change { rank, added: Some(expert), removed: None });
        }
        for &other in experts.iter().filter(|other| self.counts[usize::from(**other)] > 1) {
            changes.push(Change { rank, added: Some(expert), removed: Some(other) });
        }
    }

    fn may_add(&self, rank: usize, expert: u16) -> bool {
        let is_new = |expert: &u16| !self.current[rank].contains(expert);
        if !is_new(&expert) {
            return true;
        }
        self.ranks[rank].iter().filter(|expert| is_new(expert)).count() < self.limits.max_added
    }

    fn is_copy(&self, change: Change) -> bool {
        change.added.is_some_and(|expert| !self.current[change.rank].contains(&expert))
    }

    fn loads_after(&self, change: Change) -> Vec<f64> {
        let mut loads = self.loads.clone();
        if let Some(expert) = change.added {
            let i = usize::from(expert);
            let (before, after) = (self.share(expert), self.tokens[i] / f64::from(self.counts[i] + 1));
            self.adjust_holders(&mut loads, expert, after - before);
            loads[change.rank] += after * self.slowdowns[change.rank];
        }
        if let Some(expert) = change.removed {
            let i = usize::from(expert);
            let (before, after) =
                (self.share(expert), self.tokens[i] / f64::from((self.counts[i] - 1).max(1)));
            self.adjust_holders(&mut loads, expert, after - before);
            loads[change.rank] -= after * self.slowdowns[change.rank];
        }
        loads
    }

    fn adjust_holders(&self, loads: &mut [f64], expert: u16, difference: f64) {
        for ((load, experts), slowdown) in loads.iter_mut().zip(&self.ranks).zip(self.slowdowns) {
            if experts.contains(&expert) {
                *load += difference * slowdown;
            }
        }
    }

    /// Returns the square of the most loaded rank's excess over the mean, because that rank determines the duration of a
    /// step, plus a share of the variance, which rewards changes that relieve one of several equally loaded ranks.
    fn imbalance(&self, loads: &[f64]) -> f64 {
        const VARIANCE_SHARE: f64 = 0.1;
        let max_load = loads.iter().copied().fold(0.0, f64::max);
        let variance: f64 = loads.iter().map(|load| (load - self.mean).powi(2)).sum();
        (max_load - self.mean).powi(2) + VARIANCE_SHARE * variance
    }

    fn apply(&mut self, change: Change) {
        self.loads = self.loads_after(change);
        if let Some(expert) = change.removed {
            self.ranks[change.rank].retain(|other| *other != expert);
            self.counts[usize::from(expert)] -= 1;
        }
        if let Some(expert) = change.added {
            self.ranks[change.rank].push(expert);
            self.counts[usize::from(expert)] += 1;
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
