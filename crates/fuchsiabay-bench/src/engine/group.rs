//! A group of ranks that run in lock-step.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// A permission of one rank to run steps up to `through_step` on `map`.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Permit {
    pub(crate) rank: usize,
    pub(crate) map: u64,
    pub(crate) through_step: u64,
}

#[derive(Debug, Default)]
#[derive(Serialize)]
struct Rank {
    through_step: u64,
    /// Maps by the last step that each holds for.
    #[serde(skip)]
    maps: VecDeque<(u64, u64)>,
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
}

impl Group {
    pub(crate) fn new(ranks: usize) -> Self {
        Self { ranks: (0..ranks).map(|_| Rank::default()).collect(), ..Self::default() }
    }

    /// Adds a permit. A permit never takes back an earlier one.
    pub(crate) fn permit(&mut self, permit: Permit) -> Result<(), &'static str> {
        let Some(rank) = self.ranks.get_mut(permit.rank) else {
            return Err("the group has no such rank");
        };
        if permit.through_step <= rank.through_step {
            return Err("the rank already has a permit through this step");
        }
        rank.through_step = permit.through_step;
        rank.maps.push_back((permit.through_step, permit.map));
        Ok(())
    }

    /// Runs the next step when every rank permits it on the same map. Returns whether it ran.
    pub(crate) fn advance(&mut self) -> bool {
        let next = self.step + 1;
        let behind = self.ranks.iter_mut().filter(|rank| rank.through_step < next);
        if behind.map(|rank| rank.stalled_steps += 1).count() > 0 {
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
        true
    }
}
