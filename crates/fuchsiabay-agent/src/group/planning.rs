//! Plans the placement of experts from the engine's counts.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;
use fuchsiabay_experts::{ExpertMap, Placement, Planner, Popularity};
use fuchsiabay_settings::GroupSettings;

use crate::backend::GroupLoad;

/// The reduction of the skew for which shares alone are worth a switch. A switch costs one record of each agent.
const MIN_SHARE_GAIN: f64 = 0.01;

/// The placement in force and the popularity that it is judged by.
#[derive(Debug)]
pub(crate) struct Planning {
    first: Placement,
    popularity: Popularity,
    /// The counts of the last look, which start anew with the engine.
    totals: Vec<u64>,
    planner: Planner,
    plan_ms: u64,
    due_at: Timestamp,
}

impl Planning {
    pub(crate) fn new(settings: &GroupSettings, now: Timestamp) -> Self {
        let experts = settings.experts;
        Self {
            first: Placement::round_robin(experts, settings.group_ranks, settings.expert_slots),
            popularity: Popularity::new(experts.into(), Popularity::HALF_LIFE_MS, now),
            totals: vec![0; experts.into()],
            planner: Planner::default(),
            plan_ms: settings.plan_ms,
            due_at: now.plus_millis(settings.plan_ms),
        }
    }

    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        now >= self.due_at
    }

    /// Returns the map to switch to, given the content of the map in force.
    pub(crate) fn plan(
        &mut self,
        now: Timestamp,
        current: Option<&Arc<ExpertMap>>,
        load: &GroupLoad,
    ) -> Option<ExpertMap> {
        self.due_at = now.plus_millis(self.plan_ms);
        let ranks = self.first.slots().len();
        if load.tokens.len() != self.totals.len() || load.rank_us.len() != ranks || load.rank_us.contains(&0)
        {
            log::warn!("group: the engine counts other experts or ranks than the settings name");
            return None;
        }
        // Counts below the last ones are those of a restarted engine.
        let new: Vec<u64> = load
            .tokens
            .iter()
            .zip(&self.totals)
            .map(|(&now, &last)| now.checked_sub(last).unwrap_or(now))
            .collect();
        self.totals.clone_from(&load.tokens);
        self.popularity.record(now, &new);
        let mean = load.rank_us.iter().sum::<u64>() as f64 / ranks as f64;
        let speeds: Vec<f64> = load.rank_us.iter().map(|&us| mean / us as f64).collect();
        let placement = match current {
            Some(map) => Placement::from_map(map, self.totals.len() as u16)?,
            None => self.first.clone(),
        };
        let tokens = self.popularity.tokens();
        let (next, moves) = self.planner.plan(&placement, tokens, &speeds);
        let gain = placement.skew(tokens, &speeds) - next.skew(tokens, &speeds);
        (!moves.is_empty() || gain >= MIN_SHARE_GAIN).then(|| ExpertMap::from(&next))
    }
}
