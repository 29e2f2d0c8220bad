//! Finds a better layout with few copies.

use crate::{ExpertLayout, LayoutPlan};

/// Rounds of improvement per set. Each round changes one or two ranks.
const MAX_ROUNDS: usize = 48;

/// The part of the mean load by which a round must lower the most loaded rank's excess, per copy. Smaller gains do not pay
/// for the copy.
const GAIN_PER_COPY: f64 = 0.025;

/// The pace of a rank that says it needs no time.
const MIN_PACE: f64 = 0.1;

/// What an engine allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayoutLimits {
    /// Experts of a set that a rank holds at most.
    pub max_experts: usize,
    /// Experts of a set that one new layout may add to a rank.
    pub max_added: usize,
}

/// Plans layouts, one set at a time so that the caller can do other work in between.
#[derive(Clone, Debug)]
pub struct LayoutPlanner {
    limits: LayoutLimits,
}

/// The set that is being improved.
struct SetPlan<'a> {
    old: &'a [Vec<u16>],
    ranks: Vec<Vec<u16>>,
    tokens: &'a [f64],
    paces: &'a [f64],
    counts: Vec<u32>,
    /// The time of each rank: its tokens times its pace.
    loads: Vec<f64>,
    /// The time of every rank if all were equal.
    mean: f64,
    limits: LayoutLimits,
}

/// A change of one rank: an expert that comes, and one that goes if there is no free place.
#[derive(Clone, Copy, Debug)]
struct Step {
    rank: usize,
    added: Option<u16>,
    removed: Option<u16>,
}

impl LayoutPlanner {
    /// Returns a planner for engines with `limits`.
    pub const fn new(limits: LayoutLimits) -> Self {
        Self { limits }
    }

    /// Returns a better layout of one set of `current`.
    ///
    /// `paces` tells how much slower than usual each rank works.
    pub fn plan_set(&self, current: &[Vec<u16>], tokens: &[f64], paces: &[f64]) -> Vec<Vec<u16>> {
        let mut plan = SetPlan::new(current, tokens, paces, self.limits);
        for _ in 0..MAX_ROUNDS {
            let Some(step) = plan.best_step() else {
                break;
            };
            plan.apply(step);
        }
        plan.ranks.iter_mut().for_each(|rank| rank.sort_unstable());
        plan.ranks
    }

    /// Sums up the layout whose sets were planned.
    pub fn evaluate(
        &self,
        current: &ExpertLayout,
        layout: ExpertLayout,
        tokens: &[Vec<f64>],
        paces: &[f64],
    ) -> LayoutPlan {
        LayoutPlan {
            copies: current.copies_by_rank(&layout).iter().sum(),
            skew_before: mean_skew(current, tokens, paces),
            skew_after: mean_skew(&layout, tokens, paces),
            layout,
        }
    }
}

impl<'a> SetPlan<'a> {
    fn new(current: &'a [Vec<u16>], tokens: &'a [f64], paces: &'a [f64], limits: LayoutLimits) -> Self {
        let mut counts = vec![0; tokens.len()];
        for &expert in current.iter().flatten() {
            counts[usize::from(expert)] += 1;
        }
        let mean = tokens.iter().sum::<f64>() / total_speed(paces);
        let mut plan = Self {
            old: current,
            ranks: current.to_vec(),
            tokens,
            paces,
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
        self.ranks[rank].iter().map(|expert| self.share(*expert)).sum::<f64>() * self.paces[rank]
    }

    /// Returns the step that lowers the unevenness most, if it pays for its copy.
    fn best_step(&self) -> Option<Step> {
        let slowest = (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let before = self.unevenness(&self.loads);
        let mut best: Option<(f64, Step)> = None;
        for step in self.candidates(slowest) {
            let after = self.unevenness(&self.loads_after(step));
            let price = if self.is_copy(step) { GAIN_PER_COPY * self.mean * self.mean } else { 0.0 };
            let gain = before - after - price;
            if gain > 0.0 && best.as_ref().is_none_or(|(most, _)| gain > *most) {
                best = Some((gain, step));
            }
        }
        best.map(|(_, step)| step)
    }

    /// Returns steps that relieve `slowest`: replicas of its experts elsewhere, or its own replicas dropped.
    fn candidates(&self, slowest: usize) -> Vec<Step> {
        let mut steps = Vec::new();
        for &expert in &self.ranks[slowest] {
            if self.counts[usize::from(expert)] > 1 {
                steps.push(Step { rank: slowest, added: None, removed: Some(expert) });
            }
            for rank in (0..self.ranks.len()).filter(|rank| *rank != slowest) {
                self.push_replicas(rank, expert, &mut steps);
            }
        }
        steps
    }

    fn push_replicas(&self, rank: usize, expert: u16, steps: &mut Vec<Step>) {
        let experts = &self.ranks[rank];
        if self.loads[rank] >= self.mean || experts.contains(&expert) || !self.may_add(rank, expert) {
            return;
        }
        if experts.len() < self.limits.max_experts {
            steps.push(Step { rank, added: Some(expert), removed: None });
        }
        for &other in experts.iter().filter(|other| self.counts[usize::from(**other)] > 1) {
            steps.push(Step { rank, added: Some(expert), removed: Some(other) });
        }
    }

    fn may_add(&self, rank: usize, expert: u16) -> bool {
        let is_new = |expert: &u16| !self.old[rank].contains(expert);
        if !is_new(&expert) {
            return true;
        }
        self.ranks[rank].iter().filter(|expert| is_new(expert)).count() < self.limits.max_added
    }

    fn is_copy(&self, step: Step) -> bool {
        step.added.is_some_and(|expert| !self.old[step.rank].contains(&expert))
    }

    fn loads_after(&self, step: Step) -> Vec<f64> {
        let mut loads = self.loads.clone();
        if let Some(expert) = step.added {
            let i = usize::from(expert);
            let (before, after) = (self.share(expert), self.tokens[i] / f64::from(self.counts[i] + 1));
            self.shift_holders(&mut loads, expert, after - before);
            loads[step.rank] += after * self.paces[step.rank];
        }
        if let Some(expert) = step.removed {
            let i = usize::from(expert);
            let (before, after) =
                (self.share(expert), self.tokens[i] / f64::from((self.counts[i] - 1).max(1)));
            self.shift_holders(&mut loads, expert, after - before);
            loads[step.rank] -= after * self.paces[step.rank];
        }
        loads
    }

    fn shift_holders(&self, loads: &mut [f64], expert: u16, difference: f64) {
        for ((load, experts), pace) in loads.iter_mut().zip(&self.ranks).zip(self.paces) {
            if experts.contains(&expert) {
                *load += difference * pace;
            }
        }
    }

    /// Returns the square of the most loaded rank's excess, which sets the time of a pass, and a part of the variance, which
    /// makes steps count that relieve one of several equally loaded ranks.
    fn unevenness(&self, loads: &[f64]) -> f64 {
        const VARIANCE_PART: f64 = 0.1;
        let most = loads.iter().copied().fold(0.0, f64::max);
        let variance: f64 = loads.iter().map(|load| (load - self.mean).powi(2)).sum();
        (most - self.mean).powi(2) + VARIANCE_PART * variance
    }

    fn apply(&mut self, step: Step) {
        self.loads = self.loads_after(step);
        if let Some(expert) = step.removed {
            self.ranks[step.rank].retain(|other| *other != expert);
            self.counts[usize::from(expert)] -= 1;
        }
        if let Some(expert) = step.added {
            self.ranks[step.rank].push(expert);
            self.counts[usize::from(expert)] += 1;
        }
    }
}

/// Returns how many ranks of usual pace are as fast as all ranks together.
fn total_speed(paces: &[f64]) -> f64 {
    paces.iter().map(|pace| 1.0 / pace.max(MIN_PACE)).sum::<f64>().max(1.0)
}

fn mean_skew(layout: &ExpertLayout, tokens: &[Vec<f64>], paces: &[f64]) -> f64 {
    let skews = tokens.iter().enumerate().map(|(set, tokens)| {
        let times = layout.rank_loads(set, tokens).into_iter().zip(paces).map(|(load, pace)| load * pace);
        let mean = tokens.iter().sum::<f64>() / total_speed(paces);
        if mean > 0.0 { times.fold(0.0, f64::max) / mean } else { 1.0 }
    });
    skews.sum::<f64>() / tokens.len().max(1) as f64
}
