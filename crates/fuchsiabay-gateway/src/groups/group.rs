//! The coordinator's view of one lockstep group.

use std::sync::Arc;

use fuchsiabay_balancer::{EngineProfile, ServerRecord};
use fuchsiabay_base::{InstanceId, Timestamp};
use fuchsiabay_lockstep::{ExpertDemand, ExpertLayout, PauseBudget, RankState, StallWatch};

use super::recovery::RecoveredGroup;

/// Divisor for the minimum number of ranks whose demand is read: one in this many. Querying a rank from another instance
/// pauses the whole group.
const SAMPLED_DIVISOR: usize = 4;

/// Minimum number of ranks whose demand is read.
const MIN_SAMPLED_RANKS: usize = 4;

/// Maximum number of ranks whose demand is read in one round. It bounds the load of the coordinator's link and processor. The
/// counts of a rank are cumulative, so nothing is lost while the ranks take turns.
const MAX_SAMPLED_RANKS: usize = 64;

/// Minimum number of tokens of one set, per expert, before the demand is significant.
const MIN_TOKENS_PER_EXPERT: f64 = 200.0;

/// Duration of a step that is assumed before the first measurement, in milliseconds.
const INITIAL_STEP_MS: f64 = 60.0;

/// Weight of a new measurement in the moving average of the step duration.
const STEP_WEIGHT: f64 = 0.3;

/// One lockstep group.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) name: String,
    pub(super) epoch: u64,
    /// The servers in the order of their ranks.
    pub(super) ranks: Vec<Arc<ServerRecord>>,
    /// The slowdown factor of each rank, where 1 is normal speed.
    pub(super) slowdowns: Vec<f64>,
    /// The layout in use.
    pub(super) layout: ExpertLayout,
    /// The highest map version that any rank has had or prepared.
    pub(super) map_version: u64,
    pub(super) demand: ExpertDemand,
    /// The last step that is known to have started.
    pub(super) step: u64,
    step_seen_at: Timestamp,
    step_ms: f64,
    read_ms: f64,
    /// The position at which the next sample starts.
    next_sampled: usize,
    pauses: PauseBudget,
    stall_watch: StallWatch,
    /// Whether no switch has been attempted since the group was discovered.
    pub(super) is_new: bool,
    /// The step at which the last switch takes effect, until that step has started.
    pub(super) pending_switch_step: Option<u64>,
    /// The earliest time at which the next layout may be planned.
    pub(super) next_plan_at: Timestamp,
}

impl Group {
    pub(super) fn new(
        name: String,
        ranks: Vec<(Arc<ServerRecord>, RankState)>,
        layout: ExpertLayout,
        engine: &EngineProfile,
        now: Timestamp,
    ) -> Self {
        let map_version = ranks.iter().map(|(_, state)| state.highest_version()).max().unwrap_or(0);
        let step = ranks.iter().map(|(_, state)| state.step).max().unwrap_or(0);
        Self {
            name,
            epoch: ranks.first().map_or(0, |(_, state)| state.epoch),
            map_version,
            step,
            slowdowns: ranks.iter().map(|(_, state)| state.slowdown).collect(),
            ranks: ranks.into_iter().map(|(server, _)| server).collect(),
            layout,
            demand: ExpertDemand::new(engine.sets.into(), engine.experts.into(), now),
            step_seen_at: now,
            step_ms: INITIAL_STEP_MS,
            read_ms: 0.0,
            next_sampled: 0,
            pauses: PauseBudget::default(),
            stall_watch: StallWatch::new(step, now),
            is_new: true,
            pending_switch_step: None,
            next_plan_at: now,
        }
    }

    /// Returns whether enough tokens were counted to plan a layout.
    pub(super) fn has_enough_demand(&self, engine: &EngineProfile) -> bool {
        self.demand.total_tokens() >= MIN_TOKENS_PER_EXPERT * f64::from(engine.experts)
    }

    /// Returns the ranks whose demand is read next. The ranks that `can_query_without_pause` accepts take turns. If those are
    /// too few, evenly spread ones are added as far as the budget for pauses allows.
    pub(super) fn next_sample(
        &mut self,
        can_query_without_pause: impl Fn(&ServerRecord) -> bool,
        now: Timestamp,
    ) -> Vec<usize> {
        let rank_count = self.ranks.len();
        let (free, pausing): (Vec<usize>, Vec<usize>) =
            (0..rank_count).partition(|rank| can_query_without_pause(&self.ranks[*rank]));
        let sampled = free.len().min(MAX_SAMPLED_RANKS);
        let mut sample: Vec<usize> =
            (0..sampled).map(|i| free[(self.next_sampled + i) % free.len()]).collect();
        self.next_sampled = self.next_sampled.wrapping_add(sampled);
        let min_sampled = (rank_count / SAMPLED_DIVISOR).max(MIN_SAMPLED_RANKS).min(rank_count);
        let wanted = min_sampled.saturating_sub(free.len());
        let counts = self.demand.tokens().iter().map(Vec::len).sum();
        for i in 0..wanted {
            if !self.pauses.try_take(counts, now) {
                break;
            }
            sample.push(pausing[i * pausing.len() / wanted]);
        }
        sample
    }

    /// Records how long reading the states of all ranks took.
    pub(super) fn record_read(&mut self, ms: u64) {
        self.read_ms = ms as f64;
    }

    /// Returns how long reading the states of all ranks took the last time, in milliseconds.
    pub(super) const fn read_ms(&self) -> f64 {
        self.read_ms
    }

    /// Updates the slowdown factors of the ranks.
    pub(super) fn set_slowdowns(&mut self, slowdown: impl Fn(&InstanceId) -> f64) {
        for (known, server) in self.slowdowns.iter_mut().zip(&self.ranks) {
            *known = slowdown(&server.id);
        }
    }

    /// Records the last step that has started.
    pub(super) fn record_step(&mut self, step: u64, now: Timestamp) {
        self.stall_watch.record_step(step, now);
        if step > self.step {
            let ms = now.millis_since(self.step_seen_at) as f64 / (step - self.step) as f64;
            self.step_ms += STEP_WEIGHT * (ms - self.step_ms);
            self.step = step;
            self.step_seen_at = now;
        }
    }

    /// Returns the ranks that must be asked now whether they hold a step, because no step has begun for some time.
    pub(super) fn take_hold_check(&mut self, now: Timestamp) -> Vec<usize> {
        self.stall_watch.take_due(self.ranks.len(), now)
    }

    /// Returns the parts that a recovery of the group needs.
    pub(super) fn to_recover(&self) -> RecoveredGroup<'_> {
        RecoveredGroup {
            name: &self.name,
            epoch: self.epoch,
            ranks: &self.ranks,
            layout: Some(&self.layout),
            map_version: self.map_version,
        }
    }

    /// Returns the average duration of a step, in milliseconds.
    pub(super) const fn step_ms(&self) -> f64 {
        self.step_ms
    }

    /// Returns how many steps start within `ms` milliseconds.
    pub(super) fn steps_within(&self, ms: f64) -> u64 {
        (ms / self.step_ms.max(1.0)).ceil() as u64
    }

    /// Returns the estimated last step that has started by `now`.
    pub(super) fn estimated_step(&self, now: Timestamp) -> u64 {
        self.step + (now.millis_since(self.step_seen_at) as f64 / self.step_ms.max(1.0)) as u64
    }
}
