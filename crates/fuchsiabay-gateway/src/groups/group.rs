//! One lockstep group, as its coordinator sees it.

use std::sync::Arc;

use fuchsiabay_balancer::{EngineProfile, ServerRecord};
use fuchsiabay_base::{InstanceId, Timestamp};
use fuchsiabay_lockstep::{ExpertDemand, ExpertLayout, RankState};

/// The ranks whose demand is read at least, as a share of all: one in this many. Reading a rank from another instance makes
/// the whole group pause.
const SAMPLED_DIVISOR: usize = 4;

/// The least number of ranks whose demand is read.
const MIN_SAMPLED: usize = 4;

/// Tokens of one set that must have been seen before demand means anything, per expert.
const MIN_TOKENS_PER_EXPERT: f64 = 200.0;

/// The time of a step that is assumed before one was measured, in milliseconds.
const ASSUMED_STEP_MS: f64 = 60.0;

/// The weight of a new measurement of the time of a step.
const STEP_WEIGHT: f64 = 0.3;

/// One lockstep group.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) name: String,
    pub(super) epoch: u64,
    /// The servers by rank.
    pub(super) ranks: Vec<Arc<ServerRecord>>,
    /// How much slower than usual each rank works.
    pub(super) paces: Vec<f64>,
    /// The layout in use.
    pub(super) layout: ExpertLayout,
    /// The highest version that a rank has had.
    pub(super) version: u64,
    pub(super) demand: ExpertDemand,
    /// The last step that is known to have begun, and when it was seen.
    pub(super) step: u64,
    step_seen_at: Timestamp,
    step_ms: f64,
    /// Whether no layout was planned since the group was found.
    pub(super) is_new: bool,
    /// The step from which the last switch is in force.
    pub(super) switching_at: Option<u64>,
    /// When the next layout may be planned.
    pub(super) plan_at: Timestamp,
}

impl Group {
    pub(super) fn new(
        name: String,
        ranks: Vec<(Arc<ServerRecord>, RankState)>,
        layout: ExpertLayout,
        engine: &EngineProfile,
        now: Timestamp,
    ) -> Self {
        let versions = ranks.iter().map(|(_, state)| state.map_version.max(state.prepared.unwrap_or(0)));
        Self {
            name,
            epoch: ranks.first().map_or(0, |(_, state)| state.epoch),
            version: versions.max().unwrap_or(0),
            step: ranks.iter().map(|(_, state)| state.step).max().unwrap_or(0),
            paces: ranks.iter().map(|(_, state)| state.pace).collect(),
            ranks: ranks.into_iter().map(|(server, _)| server).collect(),
            layout,
            demand: ExpertDemand::new(engine.sets.into(), engine.experts.into(), now),
            step_seen_at: now,
            step_ms: ASSUMED_STEP_MS,
            is_new: true,
            switching_at: None,
            plan_at: now,
        }
    }

    /// Returns whether enough was counted to plan a layout from it.
    pub(super) fn knows_demand(&self, engine: &EngineProfile) -> bool {
        self.demand.total_tokens() >= MIN_TOKENS_PER_EXPERT * f64::from(engine.experts)
    }

    /// Returns the ranks whose demand is read: all that `can_query_without_pause` accepts, and some others if those are few.
    pub(super) fn sampled_ranks(
        &self,
        can_query_without_pause: impl Fn(&ServerRecord) -> bool,
    ) -> Vec<usize> {
        let all = self.ranks.len();
        let near: Vec<usize> = (0..all).filter(|rank| can_query_without_pause(&self.ranks[*rank])).collect();
        let least = (all / SAMPLED_DIVISOR).max(MIN_SAMPLED).min(all);
        if near.len() >= least {
            return near;
        }
        (0..least).map(|i| i * all / least).collect()
    }

    /// Takes over how much slower than usual the ranks work.
    pub(super) fn note_paces(&mut self, pace: impl Fn(&InstanceId) -> f64) {
        for (known, server) in self.paces.iter_mut().zip(&self.ranks) {
            *known = pace(&server.id);
        }
    }

    /// Notes the last step that was begun.
    pub(super) fn note_step(&mut self, step: u64, now: Timestamp) {
        if step > self.step {
            let ms = now.millis_since(self.step_seen_at) as f64 / (step - self.step) as f64;
            self.step_ms += STEP_WEIGHT * (ms - self.step_ms);
            self.step = step;
            self.step_seen_at = now;
        }
    }

    /// Returns the time of a step, in milliseconds.
    pub(super) const fn step_ms(&self) -> f64 {
        self.step_ms
    }

    /// Returns how many steps begin within `ms` milliseconds.
    pub(super) fn steps_within(&self, ms: f64) -> u64 {
        (ms / self.step_ms.max(1.0)).ceil() as u64
    }

    /// Returns the step that has probably begun by now.
    pub(super) fn estimated_step(&self, now: Timestamp) -> u64 {
        self.step + (now.millis_since(self.step_seen_at) as f64 / self.step_ms.max(1.0)) as u64
    }
}
