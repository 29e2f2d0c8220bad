//! Plans the placement of experts from the engine's token counts.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;
use fuchsiabay_experts::{ExpertMap, Placement, Planner, Popularity};
use fuchsiabay_settings::GroupSettings;

use crate::backend::GroupLoad;

/// The minimum reduction of the skew for a switch that changes only the replicas' shares and moves no expert. A switch
/// costs one record per agent.
const MIN_SKEW_REDUCTION: f64 = 0.01;

/// Plans placements at intervals from the experts' popularity.
#[derive(Debug)]
pub(crate) struct PlacementPlanner {
    /// The placement of the first map, which follows from the settings.
    initial: Placement,
    popularity: Popularity,
    /// The token counts that were last read from the engine. The engine resets its counts when it restarts.
    last_counts: Vec<u64>,
    planner: Planner,
    plan_ms: u64,
    next_plan_at: Timestamp,
}

impl PlacementPlanner {
    pub(crate) fn new(settings: &GroupSettings, now: Timestamp) -> Self {
        let experts = settings.experts;
        Self {
            initial: Placement::round_robin(experts, settings.group_ranks, settings.expert_slots),
            popularity: Popularity::new(experts.into(), Popularity::HALF_LIFE_MS, now),
            last_counts: vec![0; experts.into()],
            planner: Planner::default(),
            plan_ms: settings.plan_ms,
            next_plan_at: now.plus_millis(settings.plan_ms),
        }
    }

    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_plan_at
    }

    /// Returns the map to switch to, if a switch is worthwhile. `current` is the content of the map in force.
    pub(crate) fn plan(
        &mut self,
        now: Timestamp,
        current: Option<&Arc<ExpertMap>>,
        load: &GroupLoad,
    ) -> Option<ExpertMap> {
        self.next_plan_at = now.plus_millis(self.plan_ms);
        let ranks = self.initial.slots().len();
        if load.tokens.len() != self.last_counts.len()
            || load.rank_us.len() != ranks
            || load.rank_us.contains(&0)
        {
            log::warn!("group: the engine's token counts do not match the experts and ranks in the settings");
            return None;
        }
        // A count below the last one means that the engine has restarted.
        let new_tokens: Vec<u64> = load
            .tokens
            .iter()
            .zip(&self.last_counts)
            .map(|(&count, &last)| count.checked_sub(last).unwrap_or(count))
            .collect();
        self.last_counts.clone_from(&load.tokens);
        self.popularity.record(now, &new_tokens);
        let mean = load.rank_us.iter().sum::<u64>() as f64 / ranks as f64;
        let speeds: Vec<f64> = load.rank_us.iter().map(|&us| mean / us as f64).collect();
        let placement = match current {
            Some(map) => Placement::from_map(map, self.last_counts.len() as u16)?,
            None => self.initial.clone(),
        };
        let tokens = self.popularity.tokens();
        let (next, moves) = self.planner.plan(&placement, tokens, &speeds);
        let skew_reduction = placement.skew(tokens, &speeds) - next.skew(tokens, &speeds);
        (!moves.is_empty() || skew_reduction >= MIN_SKEW_REDUCTION).then(|| ExpertMap::from(&next))
    }
}
