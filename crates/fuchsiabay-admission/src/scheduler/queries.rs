//! What only reads the state of the scheduler.

use std::collections::BTreeMap;

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};

use super::Scheduler;
use crate::{
    Job, JobClass, JobId, Limits, Load, Snapshot, WorkspaceSnapshot, workspace_queue::WorkspaceQueue,
};

/// The headroom for the predicted wait, in percent of it. Errors of many estimates cancel out in part.
const WAIT_HEADROOM_PERCENT: u64 = 150;

/// The headroom for the estimate of a single job, in percent of it. The length of one answer is often off by half.
const SERVICE_HEADROOM_PERCENT: u64 = 200;

/// How long a draining agent goes on refusing, in milliseconds. Entry instances learn of the drain from their next
/// load poll, which comes after 2.6 s at most; the rest is for slow messages.
const DRAIN_NOTICE_MS: u64 = 4_000;

impl Scheduler {
    /// Returns the limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns whether nothing waits and nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns whether a drain is over, so that the process may stop.
    ///
    /// An idle agent stays up for `DRAIN_NOTICE_MS`: a submission that reaches it is refused with `not-run`, while
    /// one that reaches a stopped process is lost and may have run as far as its sender knows.
    pub fn may_stop(&self, now: Timestamp) -> bool {
        let noticed = |since: Timestamp| since.plus_millis(DRAIN_NOTICE_MS) <= now;
        self.is_idle()
            && self
                .draining_since
                .is_some_and(|since| noticed(since) || !is_mechanism_enabled("drain-notice"))
    }

    /// Returns whether the job is in flight.
    pub fn is_running(&self, id: JobId) -> bool {
        self.running.contains_key(&id)
    }

    /// Returns the jobs in flight.
    pub fn running(&self) -> impl Iterator<Item = JobId> + '_ {
        self.running.keys().copied()
    }

    /// Returns when [`Scheduler::tick`] must be called next, unless an event comes before.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let drop_at = self.deadlines.first().map(|(deadline, _)| *deadline);
        [drop_at, self.pause_due()].into_iter().flatten().min()
    }

    /// Returns the predicted wait of `job`, in milliseconds.
    ///
    /// Only work that would be served before it counts: work of its class, up to the fair share of each other
    /// workspace. Otherwise the queue of a large workspace would have the work of small ones refused.
    pub fn predicted_wait_ms(&self, _now: Timestamp, job: &Job) -> u64 {
        if self.can_start_at_once(job) {
            return 0;
        }
        if job.solo {
            return self.running.values().map(|job| self.remaining_ms(job)).max().unwrap_or(0);
        }
        let class = self.limits.class(job.estimated_tokens);
        let slots = match class {
            JobClass::Short => self.limits.slots - self.long_active().min(self.limits.long_slots()),
            JobClass::Long => self.limits.long_slots(),
        };
        let tokens = self.tokens_ahead(job, class).max(self.tokens_beside(job, class));
        self.time_to_next_slot_ms() + self.rate.millis_for(tokens, slots)
    }

    /// Returns a time from now that `job` will rarely pass, in milliseconds.
    ///
    /// A queue that is admitted right up to its deadlines loses about half of its work to the error of the prediction,
    /// after it has held a place or a slot.
    pub fn safe_time_ms(&self, now: Timestamp, job: &Job) -> u64 {
        self.predicted_wait_ms(now, job) * WAIT_HEADROOM_PERCENT / 100 + self.safe_service_ms(job)
    }

    /// Returns a time that `job` will rarely need in its slot, in milliseconds.
    pub(super) fn safe_service_ms(&self, job: &Job) -> u64 {
        self.rate.millis_for(u64::from(job.estimated_tokens), 1) * SERVICE_HEADROOM_PERCENT / 100
    }

    /// Returns the load.
    pub fn load(&self, now: Timestamp) -> Load {
        let running: u64 =
            self.running.values().map(|job| u64::from(job.estimate.saturating_sub(job.tokens))).sum();
        let solo: u64 = self.solos.iter().map(|queued| u64::from(queued.job.estimated_tokens)).sum();
        Load {
            queued: self.waiting.len() as u32,
            running: self.running.len() as u32,
            slots: self.limits.slots,
            outstanding_tokens: running
                + solo
                + self.queued_tokens(JobClass::Short)
                + self.queued_tokens(JobClass::Long),
            predicted_wait_ms: self.predicted_wait_ms(now, &probe()),
            draining: self.draining_since.is_some(),
            down: self.down,
        }
    }

    /// Returns the whole state.
    pub fn snapshot(&self, now: Timestamp) -> Snapshot {
        let least = self.workspaces.values().map(|workspace| workspace.virtual_time).min().unwrap_or(0);
        let workspaces = self.workspaces.iter().map(|(id, workspace)| WorkspaceSnapshot {
            workspace: id.clone(),
            weight: workspace.weight,
            queued: workspace.queued() as u32,
            running: workspace.running,
            virtual_lead: workspace.virtual_time - least,
        });
        Snapshot {
            load: self.load(now),
            limits: self.limits,
            short_queued: self.short_arrivals.len() as u32,
            long_queued: self.long_arrivals.len() as u32,
            long_running: self.long_active(),
            paused: self
                .running
                .iter()
                .filter(|(_, job)| job.paused_at.is_some())
                .map(|(id, _)| *id)
                .collect(),
            tokens_per_second_and_slot: (self.rate.tokens_per_ms().unwrap_or(0.0) * 1_000.0) as u64,
            workspaces: workspaces.collect(),
        }
    }

    /// Returns whether `job` would get a slot now.
    pub(super) fn can_start_at_once(&self, job: &Job) -> bool {
        if job.solo {
            return self.active() == 0 && self.solos.is_empty();
        }
        let class_waits = !self.arrivals(self.limits.class(job.estimated_tokens)).is_empty();
        !class_waits && self.solos.is_empty() && !self.solo_runs() && self.active() < self.limits.slots
    }

    /// Returns the predicted time until a job in flight ends, in milliseconds.
    pub(super) fn time_to_next_slot_ms(&self) -> u64 {
        if self.active() < self.limits.slots && !self.solo_runs() {
            return 0;
        }
        self.running.values().map(|job| self.remaining_ms(job)).min().unwrap_or(0)
    }

    /// Returns whether everything that holds a slot is predicted to end within `ms` milliseconds. Without a measured speed
    /// there is no prediction.
    pub(super) fn empties_within(&self, ms: u64) -> bool {
        self.rate.tokens_per_ms().is_some()
            && self.running.values().all(|job| job.paused_at.is_some() || self.remaining_ms(job) <= ms)
    }

    /// Returns the jobs that hold a slot.
    pub(super) fn active(&self) -> u32 {
        self.running.values().filter(|job| job.paused_at.is_none()).count() as u32
    }

    /// Returns the long jobs that hold a slot.
    pub(super) fn long_active(&self) -> u32 {
        let long = |job: &&super::Running| {
            job.paused_at.is_none() && self.limits.class(job.estimate) == JobClass::Long
        };
        self.running.values().filter(long).count() as u32
    }

    pub(super) fn solo_runs(&self) -> bool {
        self.running.values().any(|job| job.solo)
    }

    pub(super) fn arrivals(&self, class: JobClass) -> &BTreeMap<u64, JobId> {
        match class {
            JobClass::Short => &self.short_arrivals,
            JobClass::Long => &self.long_arrivals,
        }
    }

    fn remaining_ms(&self, job: &super::Running) -> u64 {
        self.rate.millis_for(u64::from(job.estimate.saturating_sub(job.tokens)), 1)
    }

    fn queued_tokens(&self, class: JobClass) -> u64 {
        self.workspaces.values().map(|workspace| workspace.queued_tokens(class)).sum()
    }

    /// Returns the tokens that are served until the waiting work of the job's workspace is done, if every workspace with
    /// work goes on sending. Work that other workspaces send later goes before the end of a long queue, so what waits now
    /// is too little to predict from.
    fn tokens_beside(&self, job: &Job, class: JobClass) -> u64 {
        let own = self.workspaces.get(&job.workspace).map_or(0, |workspace| workspace.queued_tokens(class));
        let weight = u64::from(job.weight.max(1));
        let others: u64 = self
            .workspaces
            .iter()
            .filter(|(id, workspace)| **id != job.workspace && !workspace.is_idle())
            .map(|(_, workspace)| u64::from(workspace.weight.max(1)))
            .sum();
        own * (weight + others) / weight
    }

    /// Returns the waiting tokens of the class that would be served before `job`.
    fn tokens_ahead(&self, job: &Job, class: JobClass) -> u64 {
        let own = self.workspaces.get(&job.workspace);
        let own_queued = own.map_or(0, |workspace| workspace.queued_tokens(class));
        let start = own.map_or(self.virtual_clock, |workspace| {
            workspace.virtual_time.max(self.virtual_clock) + workspace.virtual_cost(own_queued)
        });
        let others = self.workspaces.iter().filter(|(id, _)| **id != job.workspace);
        own_queued + others.map(|(_, other)| served_until(other, class, start)).sum::<u64>()
    }
}

/// Returns the waiting tokens of a workspace that are served before its virtual time passes `until`.
fn served_until(workspace: &WorkspaceQueue, class: JobClass, until: u64) -> u64 {
    let fair = workspace.tokens_for(until.saturating_sub(workspace.virtual_time));
    workspace.queued_tokens(class).min(fair)
}

/// A short job of an idle workspace, for the reported wait.
fn probe() -> Job {
    Job {
        id: JobId(0),
        workspace: fuchsiabay_base::WorkspaceId::default(),
        weight: 1,
        fingerprint: fuchsiabay_base::Fingerprint::of(&[]),
        priority: 0,
        estimated_tokens: 0,
        deadline: Timestamp::from_millis(u64::MAX),
        solo: false,
        pausable: false,
    }
}
