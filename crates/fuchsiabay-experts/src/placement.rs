//! Which ranks hold which experts, and which share of an expert's tokens each replica serves.

use crate::{ExpertMap, Replica};

/// Copies one expert's weights into a slot of a rank, in place of another expert.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The expert that is loaded from the weight store.
    pub expert: u16,
    /// The rank.
    pub rank: u16,
    /// The expert that leaves the slot.
    pub evicted: u16,
}

/// A placement of experts on ranks. Every expert has at least one replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The experts of each rank, one a slot.
    slots: Vec<Vec<u16>>,
    /// The replicas of each expert: rank and share of its tokens.
    replicas: Vec<Vec<(u16, f64)>>,
}

/// Rounds of share balancing. The shares settle geometrically, and further rounds change the slowest rank by less
/// than one per mille.
const BALANCE_ROUNDS: usize = 24;

impl Placement {
    /// Places `experts` experts round robin on `ranks` ranks with `slots` slots each. Slots beyond one per expert hold
    /// further replicas.
    ///
    /// # Panics
    ///
    /// Panics when the slots do not suffice for one replica of each expert.
    pub fn round_robin(experts: u16, ranks: u16, slots: u16) -> Self {
        let total = usize::from(ranks) * usize::from(slots);
        assert!(total >= usize::from(experts), "too few slots for one replica of each expert");
        assert!(slots <= experts, "a rank holds an expert at most once");
        let mut placement = Self {
            slots: vec![Vec::with_capacity(slots.into()); ranks.into()],
            replicas: vec![Vec::new(); experts.into()],
        };
        for i in 0..total {
            // The second and later rounds are shifted, so that the replicas of an expert lie on different ranks.
            let expert = i % usize::from(experts);
            let rank = (i + i / usize::from(experts)) % usize::from(ranks);
            let rank = placement.free_rank(rank, expert as u16, slots.into());
            placement.slots[rank].push(expert as u16);
            placement.replicas[expert].push((rank as u16, 0.0));
        }
        for replicas in &mut placement.replicas {
            let share = 1.0 / replicas.len() as f64;
            replicas.iter_mut().for_each(|replica| replica.1 = share);
        }
        placement
    }

    /// Packs the experts anew: replicas go to the experts with the most tokens per replica, and each replica, largest
    /// first, to the rank that would finish first. It balances well and moves nearly everything.
    pub fn packed(tokens: &[f64], speeds: &[f64], slots: u16) -> Self {
        let ranks = speeds.len();
        let mut counts = vec![1_usize; tokens.len()];
        for _ in tokens.len()..ranks * usize::from(slots) {
            let load = |expert: usize| tokens[expert] / counts[expert] as f64;
            let candidates = (0..tokens.len()).filter(|&expert| counts[expert] < ranks);
            let Some(hottest) = candidates.max_by(|&a, &b| load(a).total_cmp(&load(b))) else {
                break;
            };
            counts[hottest] += 1;
        }
        let mut order: Vec<usize> =
            (0..tokens.len()).flat_map(|expert| std::iter::repeat_n(expert, counts[expert])).collect();
        let load = |expert: usize| tokens[expert] / counts[expert] as f64;
        order.sort_by(|&a, &b| load(b).total_cmp(&load(a)));
        let mut placement = Self { slots: vec![Vec::new(); ranks], replicas: vec![Vec::new(); tokens.len()] };
        let mut times = vec![0.0; ranks];
        for expert in order {
            let time = |rank: usize| times[rank] + load(expert) / speeds[rank];
            let free = |rank: &usize| placement.slots[*rank].len() < usize::from(slots);
            let rank = (0..ranks)
                .filter(free)
                .filter(|&rank| !placement.slots[rank].contains(&(expert as u16)))
                .min_by(|&a, &b| time(a).total_cmp(&time(b)));
            let Some(rank) = rank else {
                // Only ranks that hold the expert already have a free slot, which then stays empty.
                continue;
            };
            times[rank] = time(rank);
            placement.slots[rank].push(expert as u16);
            placement.replicas[expert].push((rank as u16, 0.0));
        }
        placement.replicas.iter_mut().for_each(|replicas| normalize(replicas));
        placement.balance_shares(tokens, speeds);
        placement
    }

    /// Returns the placement of `map`, whose experts count up to `experts`, or `None` when an expert has no replica or a
    /// rank or expert is out of range.
    pub fn from_map(map: &ExpertMap, experts: u16) -> Option<Self> {
        let mut placement =
            Self { slots: Vec::with_capacity(map.ranks.len()), replicas: vec![Vec::new(); experts.into()] };
        for (rank, slots) in map.ranks.iter().enumerate() {
            let rank = u16::try_from(rank).ok()?;
            for &Replica(expert, share) in slots {
                placement.replicas.get_mut(usize::from(expert))?.push((rank, f64::from(share)));
            }
            placement.slots.push(slots.iter().map(|replica| replica.0).collect());
        }
        if placement.replicas.iter().any(Vec::is_empty) {
            return None;
        }
        placement.replicas.iter_mut().for_each(|replicas| normalize(replicas));
        Some(placement)
    }

    /// Returns how many weights must be loaded to come from this placement to `next`.
    pub fn move_count_to(&self, next: &Self) -> usize {
        let missing =
            |(old, new): (&Vec<u16>, &Vec<u16>)| new.iter().filter(|&expert| !old.contains(expert)).count();
        self.slots.iter().zip(&next.slots).map(missing).sum()
    }

    /// Returns the experts of each rank.
    pub fn slots(&self) -> &[Vec<u16>] {
        &self.slots
    }

    /// Returns the rank and share of each replica of `expert`.
    pub fn replicas(&self, expert: u16) -> &[(u16, f64)] {
        &self.replicas[usize::from(expert)]
    }

    /// Returns the time of each rank for `tokens` tokens per expert, given the ranks' relative speeds.
    pub fn rank_times(&self, tokens: &[f64], speeds: &[f64]) -> Vec<f64> {
        let mut times = vec![0.0; self.slots.len()];
        for (replicas, &tokens) in self.replicas.iter().zip(tokens) {
            for &(rank, share) in replicas {
                times[usize::from(rank)] += tokens * share;
            }
        }
        times.iter_mut().zip(speeds).for_each(|(time, speed)| *time /= speed);
        times
    }

    /// Returns the time of the slowest rank divided by the mean.
    pub fn skew(&self, tokens: &[f64], speeds: &[f64]) -> f64 {
        skew(&self.rank_times(tokens, speeds))
    }

    /// Shifts the shares of replicated experts towards faster ranks. This moves no weights.
    pub fn balance_shares(&mut self, tokens: &[f64], speeds: &[f64]) {
        let mut times = self.rank_times(tokens, speeds);
        for _ in 0..BALANCE_ROUNDS {
            for (replicas, &tokens) in self.replicas.iter_mut().zip(tokens) {
                if replicas.len() > 1 && tokens > 0.0 {
                    level(replicas, tokens, speeds, &mut times);
                }
            }
        }
    }

    /// Performs `step`. Returns whether it was possible.
    pub(crate) fn perform(&mut self, step: Move) -> bool {
        let slots = &mut self.slots[usize::from(step.rank)];
        if slots.contains(&step.expert) || self.replicas[usize::from(step.evicted)].len() < 2 {
            return false;
        }
        let Some(slot) = slots.iter().position(|&expert| expert == step.evicted) else {
            return false;
        };
        slots[slot] = step.expert;
        let left = &mut self.replicas[usize::from(step.evicted)];
        left.retain(|&(rank, _)| rank != step.rank);
        normalize(left);
        self.replicas[usize::from(step.expert)].push((step.rank, 0.0));
        true
    }

    fn free_rank(&self, start: usize, expert: u16, slots: usize) -> usize {
        let ranks = self.slots.len();
        (start..start + ranks)
            .map(|rank| rank % ranks)
            .find(|&rank| self.slots[rank].len() < slots && !self.slots[rank].contains(&expert))
            .or_else(|| (0..ranks).find(|&rank| self.slots[rank].len() < slots))
            .expect("the number of slots was checked")
    }
}

/// Returns the maximum divided by the mean, or 1 when nothing runs.
fn skew(times: &[f64]) -> f64 {
    let sum: f64 = times.iter().sum();
    if sum <= 0.0 {
        return 1.0;
    }
    times.iter().copied().fold(0.0, f64::max) * times.len() as f64 / sum
}

/// Fills the ranks of one expert's replicas up to a common time, as far as the expert's tokens reach.
fn level(replicas: &mut [(u16, f64)], tokens: f64, speeds: &[f64], times: &mut [f64]) {
    let mut base: Vec<(f64, usize)> = Vec::with_capacity(replicas.len());
    for (i, &(rank, share)) in replicas.iter().enumerate() {
        let rank = usize::from(rank);
        times[rank] -= tokens * share / speeds[rank];
        base.push((times[rank], i));
    }
    base.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut speed = 0.0;
    let mut weighted = 0.0;
    let mut common = f64::INFINITY;
    for (n, &(time, i)) in base.iter().enumerate() {
        let rank_speed = speeds[usize::from(replicas[i].0)];
        speed += rank_speed;
        weighted += time * rank_speed;
        common = (tokens + weighted) / speed;
        if base.get(n + 1).is_none_or(|next| common <= next.0) {
            break;
        }
    }
    for &(time, i) in &base {
        let rank = usize::from(replicas[i].0);
        let own = ((common - time).max(0.0) * speeds[rank] / tokens).min(1.0);
        replicas[i].1 = own;
    }
    normalize(replicas);
    for &(rank, share) in replicas.iter() {
        times[usize::from(rank)] += tokens * share / speeds[usize::from(rank)];
    }
}

fn normalize(replicas: &mut [(u16, f64)]) {
    let sum: f64 = replicas.iter().map(|replica| replica.1).sum();
    let equal = 1.0 / replicas.len() as f64;
    for replica in replicas {
        replica.1 = if sum > 0.0 { replica.1 / sum } else { equal };
    }
}
