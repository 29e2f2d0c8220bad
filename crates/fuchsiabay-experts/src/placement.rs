//! The placement of experts on ranks, and the share of an expert's tokens that each replica serves.

use crate::{ExpertMap, Replica};

/// Loads one expert's weights into a slot of a rank, in place of another expert.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The expert to load from the weight store.
    pub expert: u16,
    /// The rank that the slot belongs to.
    pub rank: u16,
    /// The expert that is evicted from the slot.
    pub evicted: u16,
}

/// A placement of experts on ranks. Every expert has at least one replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The experts of each rank, one per slot.
    slots: Vec<Vec<u16>>,
    /// The replicas of each expert: rank and share of its tokens.
    replicas: Vec<Vec<(u16, f64)>>,
}

/// The number of share balancing rounds. The shares converge geometrically, and further rounds change the time of the
/// slowest rank by less than 0.1 %.
const BALANCE_ROUNDS: usize = 24;

impl Placement {
    /// Places `experts` experts round-robin on `ranks` ranks with `slots` slots each. Slots that remain after one
    /// replica of each expert hold further replicas.
    ///
    /// # Panics
    ///
    /// Panics if there are too few slots for one replica of each expert, or if a rank has more slots than there are
    /// experts.
    pub fn round_robin(experts: u16, ranks: u16, slots: u16) -> Self {
        let total = usize::from(ranks) * usize::from(slots);
        assert!(total >= usize::from(experts), "too few slots for one replica of each expert");
        assert!(slots <= experts, "more slots per rank than experts");
        let mut placement = Self {
            slots: vec![Vec::with_capacity(slots.into()); ranks.into()],
            replicas: vec![Vec::new(); experts.into()],
        };
        for i in 0..total {
            // Each pass over the experts is shifted by one rank, so that the replicas of an expert lie on different
            // ranks.
            let expert = i % usize::from(experts);
            let start = (i + i / usize::from(experts)) % usize::from(ranks);
            let Some(rank) = placement.find_rank_with_free_slot(start, expert as u16, slots.into()) else {
                return Self::contiguous(experts, ranks, slots);
            };
            placement.add_replica(rank, expert);
        }
        placement.share_evenly();
        placement
    }

    /// Places the experts in ascending order, rank after rank. No rank holds an expert twice, because a rank has at most
    /// as many slots as there are experts.
    fn contiguous(experts: u16, ranks: u16, slots: u16) -> Self {
        let mut placement = Self {
            slots: vec![Vec::with_capacity(slots.into()); ranks.into()],
            replicas: vec![Vec::new(); experts.into()],
        };
        for i in 0..usize::from(ranks) * usize::from(slots) {
            placement.add_replica(i / usize::from(slots), i % usize::from(experts));
        }
        placement.share_evenly();
        placement
    }

    fn add_replica(&mut self, rank: usize, expert: usize) {
        self.slots[rank].push(expert as u16);
        self.replicas[expert].push((rank as u16, 0.0));
    }

    fn share_evenly(&mut self) {
        for replicas in &mut self.replicas {
            let share = 1.0 / replicas.len() as f64;
            replicas.iter_mut().for_each(|replica| replica.1 = share);
        }
    }

    /// Places the experts from scratch by greedy bin packing: extra replicas go to the experts with the most tokens
    /// per replica, and the replicas, in decreasing order of tokens, to the rank that would finish first. The result
    /// is well balanced, but reaching it moves nearly all weights.
    pub fn packed(tokens: &[f64], speeds: &[f64], slots: u16) -> Self {
        let ranks = speeds.len();
        let mut counts = vec![1_usize; tokens.len()];
        for _ in tokens.len()..ranks * usize::from(slots) {
            let tokens_per_replica = |expert: usize| tokens[expert] / counts[expert] as f64;
            let candidates = (0..tokens.len()).filter(|&expert| counts[expert] < ranks);
            let Some(hottest) =
                candidates.max_by(|&a, &b| tokens_per_replica(a).total_cmp(&tokens_per_replica(b)))
            else {
                break;
            };
            counts[hottest] += 1;
        }
        let mut by_tokens: Vec<usize> =
            (0..tokens.len()).flat_map(|expert| std::iter::repeat_n(expert, counts[expert])).collect();
        let tokens_per_replica = |expert: usize| tokens[expert] / counts[expert] as f64;
        by_tokens.sort_by(|&a, &b| tokens_per_replica(b).total_cmp(&tokens_per_replica(a)));
        let mut placement = Self { slots: vec![Vec::new(); ranks], replicas: vec![Vec::new(); tokens.len()] };
        let mut times = vec![0.0; ranks];
        for expert in by_tokens {
            let finish_time = |rank: usize| times[rank] + tokens_per_replica(expert) / speeds[rank];
            let has_free_slot = |rank: &usize| placement.slots[*rank].len() < usize::from(slots);
            let rank = (0..ranks)
                .filter(has_free_slot)
                .filter(|&rank| !placement.slots[rank].contains(&(expert as u16)))
                .min_by(|&a, &b| finish_time(a).total_cmp(&finish_time(b)));
            let Some(rank) = rank else {
                // All ranks with a free slot already hold this expert, so a slot stays empty.
                continue;
            };
            times[rank] = finish_time(rank);
            placement.slots[rank].push(expert as u16);
            placement.replicas[expert].push((rank as u16, 0.0));
        }
        placement.replicas.iter_mut().for_each(|replicas| normalize(replicas));
        placement.balance_shares(tokens, speeds);
        placement
    }

    /// Returns the placement that `map` describes for `experts` experts, or `None` if an expert has no replica or a
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

    /// Returns how many replicas must load weights to change this placement into `next`.
    pub fn move_count_to(&self, next: &Self) -> usize {
        let added =
            |(old, new): (&Vec<u16>, &Vec<u16>)| new.iter().filter(|&expert| !old.contains(expert)).count();
        self.slots.iter().zip(&next.slots).map(added).sum()
    }

    /// Returns the experts of each rank.
    pub fn slots(&self) -> &[Vec<u16>] {
        &self.slots
    }

    /// Returns the rank and share of each replica of `expert`.
    pub fn replicas(&self, expert: u16) -> &[(u16, f64)] {
        &self.replicas[usize::from(expert)]
    }

    /// Returns the time that each rank takes to serve `tokens`, the number of tokens of each expert, given the
    /// relative speeds of the ranks.
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

    /// Returns the skew: the time of the slowest rank divided by the mean over all ranks.
    pub fn skew(&self, tokens: &[f64], speeds: &[f64]) -> f64 {
        skew(&self.rank_times(tokens, speeds))
    }

    /// Shifts the shares of replicated experts to ranks that would finish earlier. This moves no weights.
    pub fn balance_shares(&mut self, tokens: &[f64], speeds: &[f64]) {
        let mut times = self.rank_times(tokens, speeds);
        for _ in 0..BALANCE_ROUNDS {
            for (replicas, &tokens) in self.replicas.iter_mut().zip(tokens) {
                if replicas.len() > 1 && tokens > 0.0 {
                    water_fill(replicas, tokens, speeds, &mut times);
                }
            }
        }
    }

    /// Applies `candidate`. Returns whether it was possible.
    pub(crate) fn apply_move(&mut self, candidate: Move) -> bool {
        let slots = &mut self.slots[usize::from(candidate.rank)];
        if slots.contains(&candidate.expert) || self.replicas[usize::from(candidate.evicted)].len() < 2 {
            return false;
        }
        let Some(slot) = slots.iter().position(|&expert| expert == candidate.evicted) else {
            return false;
        };
        slots[slot] = candidate.expert;
        let remaining = &mut self.replicas[usize::from(candidate.evicted)];
        remaining.retain(|&(rank, _)| rank != candidate.rank);
        normalize(remaining);
        self.replicas[usize::from(candidate.expert)].push((candidate.rank, 0.0));
        true
    }

    /// Returns the first rank from `start` on that has a free slot and does not hold `expert`.
    fn find_rank_with_free_slot(&self, start: usize, expert: u16, slots: usize) -> Option<usize> {
        let ranks = self.slots.len();
        (start..start + ranks)
            .map(|rank| rank % ranks)
            .find(|&rank| self.slots[rank].len() < slots && !self.slots[rank].contains(&expert))
    }
}

/// Returns the maximum divided by the mean, or 1 if all times are zero.
fn skew(times: &[f64]) -> f64 {
    let sum: f64 = times.iter().sum();
    if sum <= 0.0 {
        return 1.0;
    }
    times.iter().copied().fold(0.0, f64::max) * times.len() as f64 / sum
}

/// Distributes the tokens of one expert over its replicas by water-filling: ranks that would finish first get tokens
/// until they reach a common finish time.
fn water_fill(replicas: &mut [(u16, f64)], tokens: f64, speeds: &[f64], times: &mut [f64]) {
    let mut other_times: Vec<(f64, usize)> = Vec::with_capacity(replicas.len());
    for (i, &(rank, share)) in replicas.iter().enumerate() {
        let rank = usize::from(rank);
        times[rank] -= tokens * share / speeds[rank];
        other_times.push((times[rank], i));
    }
    other_times.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut total_speed = 0.0;
    let mut weighted_time = 0.0;
    let mut finish_time = f64::INFINITY;
    for (n, &(time, i)) in other_times.iter().enumerate() {
        let rank_speed = speeds[usize::from(replicas[i].0)];
        total_speed += rank_speed;
        weighted_time += time * rank_speed;
        finish_time = (tokens + weighted_time) / total_speed;
        if other_times.get(n + 1).is_none_or(|next| finish_time <= next.0) {
            break;
        }
    }
    for &(time, i) in &other_times {
        let rank = usize::from(replicas[i].0);
        let share = ((finish_time - time).max(0.0) * speeds[rank] / tokens).min(1.0);
        replicas[i].1 = share;
    }
    normalize(replicas);
    for &(rank, share) in replicas.iter() {
        times[usize::from(rank)] += tokens * share / speeds[usize::from(rank)];
    }
}

/// Scales the shares so that they add up to 1. Replicas that all have a share of 0 get equal shares.
fn normalize(replicas: &mut [(u16, f64)]) {
    let sum: f64 = replicas.iter().map(|replica| replica.1).sum();
    let equal = 1.0 / replicas.len() as f64;
    for replica in replicas {
        replica.1 = if sum > 0.0 { replica.1 / sum } else { equal };
    }
}
