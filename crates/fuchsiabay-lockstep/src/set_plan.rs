//! The plan for one set of experts, improved by one change at a time.

use crate::LayoutLimits;

/// The amount by which a change must lower the imbalance per copied expert, relative to the squared mean load. Smaller gains
/// do not justify the copy.
const GAIN_PER_COPY: f64 = 0.025;

/// The same, multiplied by the number of ranks. A copy occupies one rank, but a shorter step serves the requests of all
/// ranks, so the gain that justifies it is smaller in a large group.
const GAIN_PER_COPY_AND_RANK: f64 = 0.4;

/// The share of the variance in the imbalance.
const VARIANCE_SHARE: f64 = 0.1;

/// The working state of the plan for one set.
pub(crate) struct SetPlan<'a> {
    current: &'a [Vec<u16>],
    ranks: Vec<Vec<u16>>,
    /// The ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// The number of experts that each rank must copy.
    added: Vec<usize>,
    tokens: &'a [f64],
    slowdowns: &'a [f64],
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

/// The loads at the start of a round, prepared so that a change is evaluated by looking only at the ranks that it affects.
struct Round {
    /// The ranks in the order of decreasing load.
    by_load: Vec<usize>,
    variance: f64,
    imbalance: f64,
    gain_per_copy: f64,
}

impl<'a> SetPlan<'a> {
    /// Starts a plan with the layout `current`. `mean` is the load of every rank under perfect balance.
    pub(crate) fn new(
        current: &'a [Vec<u16>],
        tokens: &'a [f64],
        slowdowns: &'a [f64],
        mean: f64,
        limits: LayoutLimits,
    ) -> Self {
        let mut holders = vec![Vec::new(); tokens.len()];
        for (rank, experts) in current.iter().enumerate() {
            experts.iter().for_each(|expert| holders[usize::from(*expert)].push(rank));
        }
        let added = vec![0; current.len()];
        let ranks = current.to_vec();
        let loads = vec![0.0; current.len()];
        let mut plan = Self { current, ranks, holders, added, tokens, slowdowns, loads, mean, limits };
        plan.loads = (0..plan.ranks.len()).map(|rank| plan.load_of(rank)).collect();
        plan
    }

    /// Applies the change with the largest net gain. Returns false if no change lowers the imbalance by more than its copy
    /// costs.
    pub(crate) fn improve(&mut self) -> bool {
        let Some(change) = self.best_change() else {
            return false;
        };
        self.apply(change);
        true
    }

    /// Returns the experts of each rank, in ascending order.
    pub(crate) fn into_ranks(mut self) -> Vec<Vec<u16>> {
        self.ranks.iter_mut().for_each(|rank| rank.sort_unstable());
        self.ranks
    }

    fn share(&self, expert: u16) -> f64 {
        self.tokens[usize::from(expert)] / self.replicas(expert).max(1) as f64
    }

    fn replicas(&self, expert: u16) -> usize {
        self.holders[usize::from(expert)].len()
    }

    fn load_of(&self, rank: usize) -> f64 {
        self.ranks[rank].iter().map(|expert| self.share(*expert)).sum::<f64>() * self.slowdowns[rank]
    }

    fn best_change(&self) -> Option<Change> {
        let round = self.round();
        let slowest = *round.by_load.first()?;
        let mut touched = Vec::new();
        let mut best: Option<(f64, Change)> = None;
        self.for_each_candidate(slowest, |change| {
            self.touched_loads(change, &mut touched);
            let copy_cost = if self.is_copy(change) { round.gain_per_copy } else { 0.0 };
            let gain = round.imbalance - self.imbalance_after(&round, &touched) - copy_cost;
            if gain > 0.0 && best.as_ref().is_none_or(|(best_gain, _)| gain > *best_gain) {
                best = Some((gain, change));
            }
        });
        best.map(|(_, change)| change)
    }

    fn round(&self) -> Round {
        let mut by_load: Vec<usize> = (0..self.loads.len()).collect();
        by_load.sort_unstable_by(|a, b| self.loads[*b].total_cmp(&self.loads[*a]));
        let variance = self.loads.iter().map(|load| (load - self.mean).powi(2)).sum();
        let max_load = by_load.first().map_or(0.0, |rank| self.loads[*rank]);
        let gain_per_copy = GAIN_PER_COPY.min(GAIN_PER_COPY_AND_RANK / self.loads.len().max(1) as f64);
        Round {
            by_load,
            variance,
            imbalance: self.imbalance(max_load, variance),
            gain_per_copy: gain_per_copy * self.mean * self.mean,
        }
    }

    /// Calls `f` with the changes that relieve `slowest`: new replicas of its experts on other ranks, or dropped replicas of
    /// its own.
    fn for_each_candidate(&self, slowest: usize, mut f: impl FnMut(Change)) {
        for &expert in &self.ranks[slowest] {
            if self.replicas(expert) > 1 {
                f(Change { rank: slowest, added: None, removed: Some(expert) });
            }
            for rank in (0..self.ranks.len()).filter(|rank| *rank != slowest) {
                self.for_each_replica(rank, expert, &mut f);
            }
        }
    }

    fn for_each_replica(&self, rank: usize, expert: u16, f: &mut impl FnMut(Change)) {
        let experts = &self.ranks[rank];
        if self.loads[rank] >= self.mean || experts.contains(&expert) || !self.may_add(rank, expert) {
            return;
        }
        if experts.len() < self.limits.max_experts {
            f(Change { rank, added: Some(expert), removed: None });
        }
        for &other in experts.iter().filter(|other| self.replicas(**other) > 1) {
            f(Change { rank, added: Some(expert), removed: Some(other) });
        }
    }

    fn is_new(&self, rank: usize, expert: u16) -> bool {
        !self.current[rank].contains(&expert)
    }

    fn may_add(&self, rank: usize, expert: u16) -> bool {
        self.added[rank] < self.limits.max_added || !self.is_new(rank, expert)
    }

    fn is_copy(&self, change: Change) -> bool {
        change.added.is_some_and(|expert| self.is_new(change.rank, expert))
    }

    /// Sets `touched` to the loads after `change` of the ranks that it affects.
    fn touched_loads(&self, change: Change, touched: &mut Vec<(usize, f64)>) {
        touched.clear();
        touched.push((change.rank, self.loads[change.rank]));
        if let Some(expert) = change.added {
            let replicas = self.replicas(expert) + 1;
            self.add_share_change(expert, replicas, change.rank, touched);
            touched[0].1 += self.tokens[usize::from(expert)] / replicas as f64 * self.slowdowns[change.rank];
        }
        if let Some(expert) = change.removed {
            self.add_share_change(expert, self.replicas(expert) - 1, change.rank, touched);
            touched[0].1 -= self.share(expert) * self.slowdowns[change.rank];
        }
    }

    /// Adds the change of the load that the holders of `expert`, except `rank`, have if it has `replicas` replicas.
    fn add_share_change(&self, expert: u16, replicas: usize, rank: usize, touched: &mut Vec<(usize, f64)>) {
        let difference = self.tokens[usize::from(expert)] / replicas.max(1) as f64 - self.share(expert);
        for &holder in self.holders[usize::from(expert)].iter().filter(|holder| **holder != rank) {
            let added = difference * self.slowdowns[holder];
            match touched.iter_mut().find(|(other, _)| *other == holder) {
                Some((_, load)) => *load += added,
                None => touched.push((holder, self.loads[holder] + added)),
            }
        }
    }

    fn imbalance_after(&self, round: &Round, touched: &[(usize, f64)]) -> f64 {
        let is_untouched = |rank: &&usize| touched.iter().all(|(other, _)| other != *rank);
        let untouched_max = round.by_load.iter().find(is_untouched).map_or(0.0, |rank| self.loads[*rank]);
        let max_load = touched.iter().map(|(_, load)| *load).fold(untouched_max, f64::max);
        let squared = |load: f64| (load - self.mean).powi(2);
        let change: f64 =
            touched.iter().map(|(rank, load)| squared(*load) - squared(self.loads[*rank])).sum();
        self.imbalance(max_load, round.variance + change)
    }

    /// Returns the square of the most loaded rank's excess over the mean, because that rank determines the duration of a
    /// step, plus a share of the variance, which rewards changes that relieve one of several equally loaded ranks.
    fn imbalance(&self, max_load: f64, variance: f64) -> f64 {
        (max_load - self.mean).powi(2) + VARIANCE_SHARE * variance
    }

    fn apply(&mut self, change: Change) {
        let mut touched = Vec::new();
        self.touched_loads(change, &mut touched);
        for (rank, load) in touched {
            self.loads[rank] = load;
        }
        let rank = change.rank;
        if let Some(expert) = change.removed {
            self.ranks[rank].retain(|other| *other != expert);
            self.holders[usize::from(expert)].retain(|holder| *holder != rank);
            self.added[rank] -= usize::from(self.is_new(rank, expert));
        }
        if let Some(expert) = change.added {
            self.ranks[rank].push(expert);
            self.holders[usize::from(expert)].push(rank);
            self.added[rank] += usize::from(self.is_new(rank, expert));
        }
    }
}
