//! The concurrency limit of lockstep ranks.

use fuchsiabay_base::Timestamp;
use serde::Serialize;

use super::StepTime;
use crate::EngineProfile;

/// The minimum limit, in requests per rank. With fewer, the base duration of a step takes most of the time.
const MIN_REQUESTS_PER_RANK: f64 = 2.0;

/// The fraction of the goal that the predicted time between events may take. It leaves a margin, because a single long gap makes a
/// stream late and the prediction is only an upper quantile.
const TARGET_FRACTION: f64 = 0.95;

/// The maximum fraction of the throughput that the limit may cost. A late response is worth less than one that is on time, but more
/// than none.
const MAX_LOST_THROUGHPUT: f64 = 0.25;

/// The cost below which a limit that was lifted for its cost applies again.
const RESUME_LOST_THROUGHPUT: f64 = 0.2;

/// The distance from the slots at which the limit begins to apply, in requests per rank. It ends when it reaches them.
const BEGIN_DISTANCE: f64 = 0.5;

/// The minimum time between two computations, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 100;

/// The time constant with which the limit follows its computed value, in milliseconds. It exceeds the duration of a stream and the
/// age of the neighbours' loads, because a faster limit would react to its own earlier changes and oscillate. Measurements at a
/// load far below the limit say little about it, and change it more slowly.
const SMOOTHING_MS: f64 = 4_000.0;

/// The longest time for which one measurement counts, in milliseconds. After a pause without measurements, the limit continues
/// from where it was.
const MAX_ELAPSED_MS: u64 = 500;

/// The ratio of the measured time between events to the goal beyond which the limit is lifted and learns nothing. Steps are slow
/// for another reason then, such as a slow rank.
const MAX_GAP_RATIO: f64 = 2.0;

/// The change of the limit that is logged, in requests per rank.
const LOGGED_CHANGE: f64 = 0.5;

/// The minimum time between two logged changes, in milliseconds.
const LOG_INTERVAL_MS: u64 = 2_000;

/// Whether the limit applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitState {
    /// No limit is needed, or none is known because too few gaps were measured.
    #[default]
    NotNeeded,
    /// The limit applies.
    Limited,
    /// Meeting the goal would cost too much throughput, so all slots are used.
    TooCostly,
}

impl LimitState {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotNeeded => "not_needed",
            Self::Limited => "limited",
            Self::TooCostly => "too_costly",
        }
    }
}

/// The limit and what it was computed from, for logs and state dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct LimitStatus {
    /// Whether the limit applies.
    pub state: LimitState,
    /// The last computed limit, in requests per rank, whether it applies or not.
    pub requests_per_rank: f64,
    /// The slots of a rank.
    pub slots: u32,
    /// The measured time between two events, in milliseconds. Zero if too few were measured.
    pub gap_ms: f64,
    /// The mean number of running requests per rank at that time.
    pub running: f64,
    /// The goal for the time between two events, in milliseconds.
    pub goal_ms: u64,
    /// The fraction of the throughput that the limit costs.
    pub lost_throughput: f64,
}

/// The largest number of requests per rank for which the predicted time between two events meets the goal.
///
/// All instances see the same passes and compute the same limit from them, without messages.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimit {
    status: LimitStatus,
    updated_at: Option<Timestamp>,
    /// The status that was logged last, and when.
    logged: (LimitStatus, Timestamp),
}

impl ConcurrencyLimit {
    /// Returns the limit in requests per rank. None if all slots may be used.
    pub fn requests_per_rank(&self) -> Option<f64> {
        (self.status.state == LimitState::Limited).then_some(self.status.requests_per_rank)
    }

    /// Returns the limit and what it was computed from.
    pub const fn status(&self) -> &LimitStatus {
        &self.status
    }

    /// Returns whether the limit is due to be computed again.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.updated_at.is_none_or(|at| now.millis_since(at) >= UPDATE_INTERVAL_MS)
    }

    /// Removes the limit, for a service that needs none.
    pub fn clear(&mut self) {
        self.status = LimitStatus::default();
        self.updated_at = None;
    }

    /// Computes the limit of ranks with `slots` slots from the measured `step`. Without a measurement, there is no limit.
    pub fn update(
        &mut self,
        step: Option<StepTime>,
        engine: &EngineProfile,
        goal_ms: u64,
        slots: u32,
        now: Timestamp,
    ) {
        let slots = slots.max(1);
        let all = f64::from(slots);
        let elapsed_ms = self.updated_at.map_or(0, |at| now.millis_since(at)).min(MAX_ELAPSED_MS);
        self.updated_at = Some(now);
        // At the beginning, or after a change of the slots, the limit starts from all slots.
        let previous = if self.status.slots == slots { self.status.requests_per_rank } else { all };
        let status = LimitStatus { requests_per_rank: previous, slots, goal_ms, ..LimitStatus::default() };
        let Some(step) = step else {
            self.status = status;
            return;
        };
        let status = LimitStatus { gap_ms: step.gap_ms, running: step.running, ..status };
        if step.gap_ms > goal_ms as f64 * MAX_GAP_RATIO {
            self.status = LimitStatus { state: LimitState::TooCostly, ..status };
            return;
        }
        let relevance = (step.running / previous).clamp(0.0, 1.0).powi(4);
        let weight = elapsed_ms as f64 / SMOOTHING_MS * relevance;
        let limit = previous + weight * (largest_concurrency(step, engine, goal_ms, slots) - previous);
        let limit = if limit.is_finite() { limit.clamp(lowest_limit(slots), all) } else { previous };
        let lost_throughput = lost_throughput(limit, engine, slots);
        let state = next_state(self.status.state, limit, lost_throughput, slots);
        self.status = LimitStatus { state, requests_per_rank: limit, lost_throughput, ..status };
    }

    /// Returns the status if it has changed considerably since it was last returned.
    pub fn take_change(&mut self, now: Timestamp) -> Option<LimitStatus> {
        let (logged, at) = self.logged;
        let is_other_state = logged.state != self.status.state;
        let is_limited = self.status.state == LimitState::Limited;
        let distance = (logged.requests_per_rank - self.status.requests_per_rank).abs();
        if !is_other_state
            && (!is_limited || distance < LOGGED_CHANGE || now.millis_since(at) < LOG_INTERVAL_MS)
        {
            return None;
        }
        self.logged = (self.status, now);
        Some(self.status)
    }
}

/// Returns the number of requests per rank whose predicted pass takes the target fraction of the goal, at most `slots`.
///
/// What a pass takes beyond the profile is assumed to grow in proportion. It is mostly the prefill of the slowest rank and the
/// requests that it has more than the mean, and there is more of both at a higher load.
fn largest_concurrency(step: StepTime, engine: &EngineProfile, goal_ms: u64, slots: u32) -> f64 {
    let all = f64::from(slots);
    let target_ms = goal_ms as f64 * TARGET_FRACTION;
    let allowed_step_ms = engine.mean_step_time_ms(step.running) * target_ms / step.gap_ms;
    // The predicted duration of a step is linear in the number of requests.
    let base_ms = engine.mean_step_time_ms(0.0);
    let per_request_ms = engine.mean_step_time_ms(1.0) - base_ms;
    let concurrency = (allowed_step_ms - base_ms) / per_request_ms;
    // A profile without a duration per request gives no limit.
    if concurrency.is_nan() { all } else { concurrency.clamp(lowest_limit(slots), all) }
}

fn lowest_limit(slots: u32) -> f64 {
    MIN_REQUESTS_PER_RANK.min(f64::from(slots))
}

/// Returns the fraction of the throughput of all slots that is lost with `limit` requests per rank.
fn lost_throughput(limit: f64, engine: &EngineProfile, slots: u32) -> f64 {
    let throughput = |n: f64| n / engine.mean_step_time_ms(n);
    let lost = 1.0 - throughput(limit) / throughput(f64::from(slots));
    if lost.is_finite() { lost.max(0.0) } else { 0.0 }
}

fn next_state(state: LimitState, limit: f64, lost_throughput: f64, slots: u32) -> LimitState {
    let distance = f64::from(slots) - limit;
    match state {
        LimitState::TooCostly if lost_throughput > RESUME_LOST_THROUGHPUT => LimitState::TooCostly,
        _ if lost_throughput > MAX_LOST_THROUGHPUT => LimitState::TooCostly,
        LimitState::Limited if distance > 0.0 => LimitState::Limited,
        _ if distance >= BEGIN_DISTANCE => LimitState::Limited,
        _ => LimitState::NotNeeded,
    }
}
