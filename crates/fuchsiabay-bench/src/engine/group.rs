//! A group of ranks that run in lockstep.

#[cfg(test)]
mod tests;

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

/// Permits `ranks` consecutive ranks, starting at `rank`, to run the steps up to `through_step` with the expert map
/// `map`.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Permit {
    pub(crate) rank: usize,
    #[serde(default = "one_rank")]
    pub(crate) ranks: usize,
    #[serde(default)]
    pub(crate) generation: u64,
    pub(crate) map: u64,
    pub(crate) through_step: u64,
}

fn one_rank() -> usize {
    1
}

/// The experts whose weights consecutive ranks, starting at `rank`, must load for the expert map `map`: for each rank
/// its slots, as pairs of an expert and its share.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WeightsOrder {
    pub(crate) map: u64,
    pub(crate) rank: usize,
    pub(crate) slots: Vec<Vec<(u16, u16)>>,
}

/// The load of the experts and the speed of the ranks since the start.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct GroupLoad {
    /// The number of tokens that each expert processed.
    tokens: Vec<u64>,
    /// The time that each rank takes for a million tokens, in microseconds.
    rank_us: Vec<u64>,
}

#[derive(Debug, Default)]
#[derive(Serialize)]
struct Rank {
    through_step: u64,
    /// The generation of the last permit.
    generation: u64,
    /// Pairs of the last step of a permit and its expert map.
    #[serde(skip)]
    maps: VecDeque<(u64, u64)>,
    /// The experts whose weights are loaded.
    #[serde(skip)]
    loaded_experts: BTreeSet<u16>,
    /// The expert map whose weights were loaded last.
    loaded: u64,
    stalled_steps: u64,
}

/// A group of ranks. A step runs when every rank has a permit for it with the same expert map. The first step is 1.
#[derive(Debug, Default)]
#[derive(Serialize)]
pub(crate) struct Group {
    step: u64,
    map: u64,
    ranks: Vec<Rank>,
    /// The number of steps that the group did not run because the ranks had permits with different expert maps.
    map_conflicts: u64,
    conflict_at: Option<u64>,
    /// After the first step, the number of times that a step was due but a rank lacked a permit for it.
    held_steps: u64,
    #[serde(skip)]
    tokens: Vec<u64>,
}

/// The number of tokens that the least popular expert processes in a step. Popularity is skewed as in real traffic: it
/// falls with the number of the expert.
const MIN_TOKENS_PER_STEP: u64 = 64;

impl Group {
    pub(crate) fn new(ranks: usize, experts: usize) -> Self {
        let ranks = (0..ranks).map(|_| Rank::default()).collect();
        Self { ranks, tokens: vec![0; experts], ..Self::default() }
    }

    /// Adds a permit for all its ranks or for none. A permit never revokes an earlier one. A permit whose generation is
    /// older than that of the last one is refused.
    pub(crate) fn add_permit(&mut self, permit: Permit) -> Result<(), &'static str> {
        let end = permit.rank.saturating_add(permit.ranks);
        let Some(ranks) = self.ranks.get_mut(permit.rank..end) else {
            return Err("the group has no such rank");
        };
        if ranks.iter().any(|rank| permit.generation < rank.generation) {
            return Err("the rank already has a permit of a later generation");
        }
        if ranks.iter().any(|rank| permit.through_step <= rank.through_step) {
            return Err("the rank already has a permit through this step");
        }
        for rank in ranks {
            rank.generation = permit.generation;
            rank.through_step = permit.through_step;
            rank.maps.push_back((permit.through_step, permit.map));
        }
        Ok(())
    }

    /// Returns the number of experts whose weights must be loaded for the order.
    pub(crate) fn count_missing_experts(&self, order: &WeightsOrder) -> Result<usize, &'static str> {
        let ranks = self.ranks.get(order.rank..order.rank.saturating_add(order.slots.len()));
        let ranks = ranks.ok_or("the group has no such rank")?;
        let missing = |(rank, slots): (&Rank, &Vec<(u16, u16)>)| {
            slots.iter().filter(|(expert, _)| !rank.loaded_experts.contains(expert)).count()
        };
        Ok(ranks.iter().zip(&order.slots).map(missing).sum())
    }

    /// Records that the weights of the order are loaded.
    pub(crate) fn record_loaded_weights(&mut self, order: &WeightsOrder) {
        for (rank, slots) in self.ranks.iter_mut().skip(order.rank).zip(&order.slots) {
            rank.loaded_experts.extend(slots.iter().map(|(expert, _)| *expert));
            rank.loaded = order.map;
        }
    }

    /// Returns the load of the experts and the speed of the ranks since the start.
    pub(crate) fn load(&self) -> GroupLoad {
        GroupLoad { tokens: self.tokens.clone(), rank_us: vec![1_000_000; self.ranks.len()] }
    }

    /// Runs the next step if every rank has a permit for it with the same expert map. Returns whether it ran.
    pub(crate) fn advance(&mut self) -> bool {
        let next = self.step + 1;
        let unpermitted = self.ranks.iter_mut().filter(|rank| rank.through_step < next);
        if unpermitted.map(|rank| rank.stalled_steps += 1).count() > 0 {
            self.held_steps += u64::from(self.step > 0);
            return false;
        }
        for rank in &mut self.ranks {
            while rank.maps.front().is_some_and(|(through_step, _)| *through_step < next) {
                rank.maps.pop_front();
            }
        }
        let mut maps = self.ranks.iter().filter_map(|rank| rank.maps.front()).map(|(_, map)| *map);
        let Some(map) = maps.next() else {
            return false;
        };
        if maps.any(|other| other != map) {
            // The group stays at this step, so the conflict is counted only once.
            if self.conflict_at != Some(next) {
                self.conflict_at = Some(next);
                self.map_conflicts += 1;
                log::error!("fake engine: ranks have permits with different expert maps for step {next}");
            }
            return false;
        }
        self.step = next;
        self.map = map;
        let experts = self.tokens.len() as u64;
        for (expert, tokens) in (0..).zip(&mut self.tokens) {
            *tokens += MIN_TOKENS_PER_STEP * experts / (expert + 1);
        }
        true
    }
}
