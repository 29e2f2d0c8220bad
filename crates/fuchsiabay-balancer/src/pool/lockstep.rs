//! The concurrency limit of a pool whose servers are the ranks of a lockstep group.

use fuchsiabay_base::Timestamp;

use super::{ConcurrencyLimit, Job, LimitStatus, Pool, StepTimes, member::Member};
use crate::EngineProfile;

/// How long the room that was computed from the neighbours' loads is used, in milliseconds. Neighbours that do not report for
/// longer are unknown.
const OWN_LIMIT_LIFETIME_MS: u64 = 1_500;

/// The usual age of the neighbours' loads, in milliseconds.
const LOAD_AGE_MS: u64 = 250;

/// The part of its share of the free room that an instance takes until it hears from the neighbours again. Loads arrive up to
/// two rounds late, so twice the share would make the load swing.
const FREE_SLOT_FRACTION: f64 = 0.5;

/// What the pool knows about the steps of its group.
#[derive(Clone, Debug, Default)]
pub(super) struct Lockstep {
    /// The smallest goal for the time between two events among the routes to the service, in milliseconds.
    gap_goal_ms: Option<u64>,
    step_times: StepTimes,
    limit: ConcurrencyLimit,
    /// The maximum number of this instance's requests until the neighbours' loads are known again, and when it was computed.
    own_limit: Option<(f64, Timestamp)>,
}

impl Pool {
    /// Sets the smallest goal for the time between two events of a stream, in milliseconds.
    pub fn set_gap_goal_ms(&mut self, gap_goal_ms: Option<u64>) {
        self.lockstep.gap_goal_ms = gap_goal_ms;
    }

    /// Records the time between two events of a stream.
    pub fn record_gap(&mut self, gap_ms: u64, now: Timestamp) {
        if self.step_goal().is_none() {
            return;
        }
        // Without the neighbours' loads, the passes cannot be related to a load.
        if let Some(running) = self.running_per_rank(now) {
            self.lockstep.step_times.record(gap_ms, running, now);
        }
        self.update_limit(now);
    }

    /// Computes the concurrency limit again if that is due.
    pub fn update_limit(&mut self, now: Timestamp) {
        let Some((engine, goal_ms)) = self.step_goal() else {
            self.lockstep.limit.clear();
            return;
        };
        if !self.lockstep.limit.is_due(now) {
            return;
        }
        let step = self.lockstep.step_times.upper_quantile(|running| engine.mean_step_time_ms(running), now);
        let slots = self.present().map(|member| member.record.slots.max(1)).max().unwrap_or(1);
        let mut limit = self.lockstep.limit.clone();
        limit.update(step, engine, goal_ms, slots, now);
        self.lockstep.limit = limit;
    }

    /// Returns the concurrency limit if it has changed considerably since it was last returned.
    pub fn take_limit_change(&mut self, now: Timestamp) -> Option<LimitStatus> {
        self.lockstep.limit.take_change(now)
    }

    /// Returns the concurrency limit and what it was computed from. None for a service without lockstep ranks or a goal.
    pub fn limit_status(&self) -> Option<&LimitStatus> {
        self.step_goal().map(|_| self.lockstep.limit.status())
    }

    /// Returns the concurrency limit in requests per rank. None if all slots may be used.
    pub fn concurrency_limit(&self) -> Option<f64> {
        self.lockstep.limit.requests_per_rank()
    }

    /// Returns the time between two events, in milliseconds, if it is clearly known to exceed `ratio` times its goal.
    pub(super) fn slow_gap_ms(&self, ratio: f64, now: Timestamp) -> Option<f64> {
        let (_, goal_ms) = self.step_goal()?;
        let is_running = self.present().any(|member| member.started_requests() > 0);
        let silent_since = is_running.then_some(self.last_response_at);
        let gap_ms = self.lockstep.step_times.median_gap_ms(silent_since, now)?;
        (gap_ms > goal_ms as f64 * ratio).then_some(gap_ms)
    }

    /// Computes how many requests this instance may have until the neighbours' loads are known again. All instances see the
    /// same free room at the same time, so each takes only its part of it.
    pub(super) fn update_own_limit(&mut self, now: Timestamp) {
        let own = f64::from(self.own_total());
        let room = f64::from(self.slot_total()) - f64::from(self.load_total(now));
        let part = room * FREE_SLOT_FRACTION / self.instances as f64;
        self.lockstep.own_limit = (self.instances > 1).then_some((own + part, now));
    }

    /// Returns whether another request of this instance keeps the group below the concurrency limit.
    pub(super) fn has_room_below_limit(&self, job: &Job, now: Timestamp) -> bool {
        if job.uses_all_slots() || self.lockstep.limit.requests_per_rank().is_none() {
            return true;
        }
        let is_own_room_left = match self.lockstep.own_limit {
            Some((limit, at)) if now.millis_since(at) < OWN_LIMIT_LIFETIME_MS => {
                f64::from(self.own_total()) < limit
            }
            _ => true,
        };
        is_own_room_left && self.load_total(now) < self.slot_total()
    }

    /// Returns the fraction of the slots that is kept free for requests that can be on time while the concurrency limit applies.
    /// None if it does not apply.
    ///
    /// Requests that can be on time go first, and slots of a limited group become free all the time. It is enough to keep
    /// those that will be needed before the loads of the neighbours are known again.
    pub(super) fn limited_reserved_fraction(&self, now: Timestamp) -> Option<f64> {
        self.lockstep.limit.requests_per_rank()?;
        let arrivals_per_s = self.traffic.on_time_arrivals_per_s(now) * self.instances as f64;
        let needed = arrivals_per_s * LOAD_AGE_MS as f64 / 1_000.0;
        Some(needed / f64::from(self.slot_total().max(1)))
    }

    /// Returns the number of requests that `job` may share a server with, including itself.
    pub(super) fn slot_limit_for(&self, job: &Job, member: &Member) -> u32 {
        if job.uses_all_slots() { member.record.slots.max(1) } else { self.slot_limit(member) }
    }

    /// Returns the number of requests that a server may run.
    pub(super) fn slot_limit(&self, member: &Member) -> u32 {
        let slots = member.record.slots.max(1);
        self.lockstep.limit.requests_per_rank().map_or(slots, |limit| slots.min(limit.ceil() as u32))
    }

    /// Returns the number of requests that the servers may run together. A limit that is not a whole number applies to the
    /// total, because one request more at each rank is a large step.
    pub(super) fn slot_total(&self) -> u32 {
        let total = self.present().map(|member| self.slot_limit(member)).sum();
        match self.lockstep.limit.requests_per_rank() {
            Some(limit) => ((limit * self.present().count() as f64) as u32).min(total),
            None => total,
        }
    }

    /// Returns the engine profile and the goal for the time between two events, if the limit applies to the service.
    fn step_goal(&self) -> Option<(&EngineProfile, u64)> {
        let engine = self.engine.as_ref().filter(|engine| engine.is_lockstep())?;
        Some((engine, self.lockstep.gap_goal_ms?))
    }

    /// Returns the mean number of running requests per rank. None if the neighbours' loads are unknown.
    fn running_per_rank(&self, now: Timestamp) -> Option<f64> {
        let is_known = self.instances == 1 || self.present().any(|member| member.is_report_recent(now));
        let ranks = self.present().count();
        (is_known && ranks > 0).then(|| f64::from(self.load_total(now)) / ranks as f64)
    }

    fn load_total(&self, now: Timestamp) -> u32 {
        self.present().map(|member| member.load(now)).fold(0, u32::saturating_add)
    }

    fn own_total(&self) -> u32 {
        self.present().map(|member| member.own_requests).sum()
    }

    fn present(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.is_available())
    }
}
