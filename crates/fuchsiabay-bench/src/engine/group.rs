//! A group of ranks that run in lock-step.

#[cfg(test)]
mod tests;

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

/// A permission of consecutive ranks to run steps up to `through_step` on `map`.
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

/// The experts that consecutive ranks must hold for `map`: for each rank its slots, as pairs of expert and share.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WeightsOrder {
    pub(crate) map: u64,
    pub(crate) rank: usize,
    pub(crate) slots: Vec<Vec<(u16, u16)>>,
}

/// What the experts and ranks did since the start.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct GroupLoad {
    /// The tokens of each expert.
    tokens: Vec<u64>,
    /// How long each rank needs for a million tokens, in microseconds.
    rank_us: Vec<u64>,
}

#[derive(Debug, Default)]
#[derive(Serialize)]
struct Rank {
    through_step: u64,
    /// The highest generation that permitted a step.
    generation: u64,
    /// Maps by the last step that each holds for.
    #[serde(skip)]
    maps: VecDeque<(u64, u64)>,
    /// Experts whose weights were loaded.
    #[serde(skip)]
    held: BTreeSet<u16>,
    /// The last map whose weights were loaded.
    loaded: u64,
    stalled_steps: u64,
}

/// A group of ranks. A step runs when every rank has a permit for it. Steps count from 1.
#[derive(Debug, Default)]
#[derive(Serialize)]
pub(crate) struct Group {
    step: u64,
    map: u64,
    ranks: Vec<Rank>,
    /// Steps that would have run on more than one map. The group does not run them.
    map_conflicts: u64,
    conflict_at: Option<u64>,
    /// Step times after the first step in which a rank lacked a permit.
    held_steps: u64,
    #[serde(skip)]
    tokens: Vec<u64>,
}

/// Tokens that the least popular expert serves in a step. Popularity falls with the number of the expert, as it does
/// for real traffic.
const STEP_TOKENS: u64 = 64;

impl Group {
    pub(crate) fn new(ranks: usize, experts: usize) -> Self {
        let ranks = (0..ranks).map(|_| Rank::default()).collect();
        Self { ranks, tokens: vec![0; experts], ..Self::default() }
    }

    /// Adds a permit for all its ranks or for none. A permit never takes back an earlier one, and one of an older
    /// generation than the last is refused.
    pub(crate) fn permit(&mut self, permit: Permit) -> Result<(), &'static str> {
        let end = permit.rank.saturating_add(permit.ranks);
        let Some(ranks) = self.ranks.get_mut(permit.rank..end) else {
            return Err("the group has no such rank");
        };
        if ranks.iter().any(|rank| permit.generation < rank.generation) {
            return Err("a later generation permits the steps of the rank");
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

    /// Returns how many weights must be loaded for the order.
    pub(crate) fn missing_weights(&self, order: &WeightsOrder) -> Result<usize, &'static str> {
        let ranks = self.ranks.get(order.rank..order.rank.saturating_add(order.slots.len()));
        let ranks = ranks.ok_or("the group has no such rank")?;
        let missing = |(rank, slots): (&Rank, &Vec<(u16, u16)>)| {
            slots.iter().filter(|(expert, _)| !rank.held.contains(expert)).count()
        };
        Ok(ranks.iter().zip(&order.slots).map(missing).sum())
    }

    /// Notes that the weights of the order are loaded.
    pub(crate) fn weights_loaded(&mut self, order: &WeightsOrder) {
        for (rank, slots) in self.ranks.iter_mut().skip(order.rank).zip(&order.slots) {
            rank.held.extend(slots.iter().map(|(expert, _)| *expert));
            rank.loaded = order.map;
        }
    }

    /// Returns what the experts and ranks did since the start.
    pub(crate) fn load(&self) -> GroupLoad {
        GroupLoad { tokens: self.tokens.clone(), rank_us: vec![1_000_000; self.ranks.len()] }
    }

    /// Runs the next step when every rank permits it on the same map. Returns whether it ran.
    pub(crate) fn advance(&mut self) -> bool {
        let next = self.step + 1;
        let behind = self.ranks.iter_mut().filter(|rank| rank.through_step < next);
        if behind.map(|rank| rank.stalled_steps += 1).count() > 0 {
            self.held_steps += u64::from(self.step > 0);
            return false;
        }
        for rank in &mut self.ranks {
            while rank.maps.front().is_some_and(|(through, _)| *through < next) {
                rank.maps.pop_front();
            }
        }
        let mut maps = self.ranks.iter().filter_map(|rank| rank.maps.front()).map(|(_, map)| *map);
        let Some(map) = maps.next() else {
            return false;
        };
        if maps.any(|other| other != map) {
            // A conflict is counted once for each step, since the group stays at it.
            if self.conflict_at != Some(next) {
                self.conflict_at = Some(next);
                self.map_conflicts += 1;
                log::error!("engine: ranks hold different expert maps for step {next}");
            }
            return false;
        }
        self.step = next;
        self.map = map;
        let experts = self.tokens.len() as u64;
        for (expert, tokens) in (0..).zip(&mut self.tokens) {
            *tokens += STEP_TOKENS * experts / (expert + 1);
        }
        true
    }
}
