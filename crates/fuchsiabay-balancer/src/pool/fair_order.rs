//! The order of the waiting jobs under fair shares.

use std::collections::{BTreeMap, HashMap, HashSet};

use fuchsiabay_base::{Timestamp, WorkspaceId};

use super::{
    Grant, Job, JobId, Pool, Refusal, RefusalReason,
    job::workspace_id,
    wait_queue::{latest_start_of, order_key},
};
use crate::{DemandReport, ReportedDemand, ShareEvent, ShareLevel, fair_shares::cost};

/// The minimum part of the demand that an instance assumes to have, as a fraction of an equal part. One that has just started has
/// measured few arrivals.
const MIN_DEMAND_FRACTION: f64 = 0.5;

/// The age up to which a slot that is released without a response was probably rejected by the server, in milliseconds. Callers that
/// leave later have occupied the slot.
const MAX_REFUND_AGE_MS: u64 = 100;

/// How the order among workspaces affected jobs since the last call of [`Pool::take_fair_share_counts`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FairShareCounts {
    /// Jobs that got a slot before a job with an earlier goal, whose workspace is above its share.
    pub overtaking: u64,
    /// Jobs of workspaces above their share that were refused on arrival, because the predicted wait is too long.
    pub refused_on_arrival: u64,
    /// Jobs that were refused because others had overtaken them.
    pub refused_overtaken: u64,
}

/// A waiting job at its place in the order.
struct PlacedJob<'a> {
    /// None for a job that arrives.
    id: Option<JobId>,
    job: &'a Job,
    /// Whether the workspace is above its share once the jobs before this one have been granted.
    is_above: bool,
}

impl Pool {
    /// Sets whether the slots are shared fairly among workspaces.
    pub fn set_fair_shares_enabled(&mut self, is_enabled: bool) {
        if self.shares.is_enabled() != is_enabled {
            self.shares.set_enabled(is_enabled);
        }
    }

    /// Sets the demand of the neighbours.
    pub fn set_neighbour_demand(&mut self, mut reported: ReportedDemand, now: Timestamp) {
        let scale = reported.extrapolation(self.instances);
        self.shares.set_reported(reported.usage.drain().map(|(id, usage)| (id, usage * scale)));
        self.reported = reported;
        let own: u32 = self.members.iter().map(|member| member.own_requests).sum();
        self.own_usage_fraction = f64::from(own) / f64::from(self.slot_usage(now).1.max(own).max(1));
        // A random offset before rounding down, so that an instance whose part is less than one slot leaves one free with that
        // probability.
        self.rounding_offset = fastrand::f64();
    }

    /// Returns the demand of this instance, to be sent to the neighbours.
    pub fn demand_report(&self, now: Timestamp) -> DemandReport {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let mut below_share: BTreeMap<u8, u32> = BTreeMap::new();
        for (_, job) in self.queue.iter().filter(|(_, job)| self.is_far_below_share(job, now)) {
            *below_share.entry(job.priority).or_default() += 1;
        }
        // Usage has no effect while nobody waits anywhere.
        let is_contended = waiting > 0 || self.recent_demand(now).is_some_and(|demand| demand.waiting > 0);
        let usage = if is_contended { self.shares.heaviest(now) } else { Vec::new() };
        DemandReport::new(self.traffic.on_time_arrivals_per_s(now), waiting, below_share, usage)
    }

    /// Returns the demand of the neighbours, if any has reported recently.
    pub(super) fn recent_demand(&self, now: Timestamp) -> Option<&ReportedDemand> {
        Some(&self.reported).filter(|reported| reported.reporters > 0 && reported.until > now)
    }

    /// Returns the rate of arrivals at all instances that can be on time, per second.
    pub(super) fn total_on_time_arrivals_per_s(&self, now: Timestamp) -> f64 {
        let own = self.traffic.on_time_arrivals_per_s(now);
        match self.recent_demand(now) {
            Some(reported) => own + reported.arrivals_per_s * reported.extrapolation(self.instances),
            None => own * self.instances as f64,
        }
    }

    /// Returns this instance's part of the demand. Without reports, all instances have an equal part.
    pub(super) fn demand_fraction(&self, now: Timestamp) -> f64 {
        let equal = 1.0 / self.instances as f64;
        let total = self.total_on_time_arrivals_per_s(now);
        if self.recent_demand(now).is_none() || total <= 0.0 {
            return equal;
        }
        (self.traffic.on_time_arrivals_per_s(now) / total).max(equal * MIN_DEMAND_FRACTION)
    }

    /// Computes the shares anew if jobs wait, together with `arriving`.
    pub(super) fn update_shares(&mut self, arriving: Option<&Job>, now: Timestamp) {
        if !self.shares.is_enabled() {
            return;
        }
        if self.reported.reporters > 0 && self.recent_demand(now).is_none() {
            self.set_neighbour_demand(ReportedDemand::default(), now);
        }
        let others_wait = self.recent_demand(now).is_some_and(|demand| !demand.below_share.is_empty());
        if self.queue.len() == 0 && !others_wait {
            self.shares.end_competition();
            return;
        }
        let jobs = self.queue.iter().map(|(_, job)| job).chain(arriving);
        let waiting: HashSet<&WorkspaceId> = jobs.map(Job::workspace_id).collect();
        self.shares.compare(&waiting, others_wait, now);
    }

    /// Returns whether the workspace of `job` is far below its share while another one is above it. Such a job may use reserved slots,
    /// because most of them are reserved for jobs of the other workspace.
    pub(super) fn is_far_below_share(&self, job: &Job, now: Timestamp) -> bool {
        self.shares.has_above() && self.shares.level(job.workspace_id(), 0.0, now) == ShareLevel::FarBelow
    }

    /// Returns whether `job` must leave the free slots to jobs of workspaces below their share that wait at other instances.
    ///
    /// An instance sees the slots that become free at its own requests first. One that holds all slots for a workspace above its share
    /// would keep them forever otherwise.
    pub(super) fn must_leave_slots_free(&self, job: &Job, now: Timestamp) -> bool {
        if job.is_resumption || !self.shares.is_above(job.workspace_id()) {
            return false;
        }
        let Some(reported) = self.recent_demand(now) else {
            return false;
        };
        let waiting: u32 = reported.below_share.range(..=job.priority).map(|(_, waiting)| waiting).sum();
        let slots_left_free = (f64::from(waiting) * self.own_usage_fraction + self.rounding_offset) as u32;
        let (slots, used) = self.slot_usage(now);
        slots.saturating_sub(used) <= slots_left_free && slots_left_free > 0
    }

    /// Returns the waiting jobs in the order in which they would be served. The usage of a workspace includes
    /// its earlier jobs.
    fn fair_sequence<'a>(&'a self, arriving: Option<&'a Job>, now: Timestamp) -> Vec<PlacedJob<'a>> {
        let first_byte_ms = self.traffic.first_byte_ms();
        let key = |job: &Job, level| order_key(job, latest_start_of(job, first_byte_ms), level, now);
        let waiting = self.queue.iter().map(|(id, job)| (Some(*id), job));
        let mut jobs: Vec<_> = waiting.chain(arriving.map(|job| (None, job))).collect();
        // Sorting is stable, so jobs with equal keys stay in the order of their arrival.
        jobs.sort_by_key(|(_, job)| key(job, ShareLevel::Near));
        let mut granted: HashMap<&WorkspaceId, f64> = HashMap::new();
        let mut keyed: Vec<_> = jobs
            .into_iter()
            .map(|(id, job)| {
                let before = granted.entry(job.workspace_id()).or_default();
                let level = self.shares.level(job.workspace_id(), *before, now);
                *before += cost(job.tokens);
                (key(job, level), PlacedJob { id, job, is_above: level == ShareLevel::Above })
            })
            .collect();
        keyed.sort_by_key(|(key, _)| *key);
        keyed.into_iter().map(|(_, placed)| placed).collect()
    }

    /// Returns the number of waiting jobs that would be served before `job`, which arrives.
    pub(super) fn count_ahead_fairly(&self, job: &Job, now: Timestamp) -> usize {
        let sequence = self.fair_sequence(Some(job), now);
        sequence.iter().take_while(|placed| placed.id.is_some()).count()
    }

    /// Removes the waiting jobs that jobs of other workspaces have overtaken until they cannot be served in time, and returns them.
    pub fn refuse_overtaken(&mut self, now: Timestamp) -> Vec<(JobId, Refusal)> {
        self.update_shares(None, now);
        self.shares.expire(now);
        if !self.shares.has_above() {
            return Vec::new();
        }
        let mut refused = Vec::new();
        let mut ahead = 0;
        let mut latest_ahead: HashMap<&WorkspaceId, JobId> = HashMap::new();
        for PlacedJob { id, job, is_above } in self.fair_sequence(None, now) {
            let wait_ms = self.wait_behind_ms(ahead, job, now);
            let left_ms = job.deadline.millis_since(now).saturating_sub(self.traffic.first_byte_ms());
            let Some(id) = id else {
                continue;
            };
            let workspace = job.workspace_id();
            let is_overtaken = latest_ahead.iter().any(|(other, latest)| *other != workspace && *latest > id);
            if is_overtaken && is_above && !job.is_resumption && wait_ms > left_ms {
                refused.push((id, self.refusal(RefusalReason::Overtaken, wait_ms)));
                continue;
            }
            ahead += 1;
            latest_ahead.entry(workspace).and_modify(|latest| *latest = id.max(*latest)).or_insert(id);
        }
        refused.iter().for_each(|(id, _)| drop(self.queue.remove(*id)));
        self.fair_share_counts.refused_overtaken += refused.len() as u64;
        refused
    }

    /// Takes back the usage of a slot whose request did not run, so that a workspace is not charged for each server that is full.
    pub(super) fn refund(&mut self, grant: &Grant, now: Timestamp) {
        if now.millis_since(grant.granted_at) <= MAX_REFUND_AGE_MS {
            self.shares.refund(workspace_id(grant.workspace.as_ref()), grant.tokens, now);
        }
    }

    /// Counts a job that is granted before a job with an earlier goal.
    pub(super) fn count_overtaking(&mut self, job: &Job, now: Timestamp) {
        if !self.shares.has_above() || self.shares.is_above(job.workspace_id()) {
            return;
        }
        let first_byte_ms = self.traffic.first_byte_ms();
        let key = |job: &Job| order_key(job, latest_start_of(job, first_byte_ms), ShareLevel::Near, now);
        let own_key = key(job);
        let is_passed = |other: &Job| self.shares.is_above(other.workspace_id()) && key(other) < own_key;
        let is_overtaking = self.queue.iter().any(|(_, other)| is_passed(other));
        self.fair_share_counts.overtaking += u64::from(is_overtaking);
    }

    /// Counts the refusal of an arriving job whose workspace is above its share.
    pub(super) fn count_refused_on_arrival(&mut self, job: &Job) {
        if self.shares.is_above(job.workspace_id()) {
            self.fair_share_counts.refused_on_arrival += 1;
        }
    }

    /// Returns how the order among workspaces affected jobs since the last call.
    pub fn take_fair_share_counts(&mut self) -> FairShareCounts {
        std::mem::take(&mut self.fair_share_counts)
    }

    /// Returns the workspaces that began or ceased to be above their share since the last call.
    pub fn take_share_events(&mut self) -> Vec<ShareEvent> {
        self.shares.take_events()
    }
}
