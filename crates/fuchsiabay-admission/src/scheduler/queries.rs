//! Read-only operations of the scheduler.

use std::collections::BTreeMap;

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};

use super::Scheduler;
use crate::{
    Job, JobClass, JobId, Limits, Load, SchedulerStatus, WorkspaceStatus, workspace_queue::WorkspaceQueue,
};

/// The predicted wait with its safety margin, in percent of the prediction. The errors of many estimates partly cancel
/// out.
const WAIT_MARGIN_PERCENT: u64 = 150;

/// The service time of one job with its safety margin, in percent of the estimate. The estimated length of a single
/// response is often off by half.
const SERVICE_MARGIN_PERCENT: u64 = 200;

/// How long a draining agent keeps refusing requests before it may stop, in milliseconds. Entry instances learn of the
/// drain from their next load poll, which comes after 2.6 s at most; the rest allows for slow messages.
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

    /// Returns whether a drain is complete, so that the process may stop.
    ///
    /// An idle agent stays up for `DRAIN_NOTICE_MS`: it refuses submissions with `not-run`, whereas the sender of a
    /// submission that reaches a stopped process cannot know whether it ran.
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

    /// Returns when [`Scheduler::tick`] must be called next, unless an event comes first.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let drop_at = self.deadlines.first().map(|(deadline, _)| *deadline);
        [drop_at, self.pause_due()].into_iter().flatten().min()
    }

    /// Returns the predicted wait of `job`, in milliseconds.
    ///
    /// Only work that would be served before it counts: work of its class, up to the fair share of each other
    /// workspace. Otherwise the queue of a large workspace would cause the work of small ones to be refused.
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
        let tokens = self.tokens_ahead(job, class).max(self.tokens_under_contention(job, class));
        self.time_to_next_slot_ms() + self.rate.millis_for(tokens, slots)
    }

    /// Returns a conservative prediction of the time until `job` completes, in milliseconds.
    ///
    /// A queue that admits jobs right up to their deadlines loses about half of them to prediction errors, after they
    /// have occupied the queue or a slot.
    pub fn conservative_completion_ms(&self, now: Timestamp, job: &Job) -> u64 {
        self.predicted_wait_ms(now, job) * WAIT_MARGIN_PERCENT / 100 + self.conservative_service_ms(job)
    }

    /// Returns a conservative prediction of the time that `job` needs in its slot, in milliseconds.
    pub(super) fn conservative_service_ms(&self, job: &Job) -> u64 {
        self.rate.millis_for(u64::from(job.estimated_tokens), 1) * SERVICE_MARGIN_PERCENT / 100
    }

    /// Returns the load of the backend server.
    pub fn load(&self, now: Timestamp) -> Load {
        let running: u64 =
            self.running.values().map(|job| u64::from(job.estimate.saturating_sub(job.produced))).sum();
        let solo: u64 = self.solo_jobs.iter().map(|queued| u64::from(queued.job.estimated_tokens)).sum();
        Load {
            queued: self.waiting.len() as u32,
            running: self.running.len() as u32,
            slots: self.limits.slots,
            outstanding_tokens: running
                + solo
                + self.queued_tokens(JobClass::Short)
                + self.queued_tokens(JobClass::Long),
            predicted_wait_ms: self.predicted_wait_ms(now, &probe_job()),
            draining: self.draining_since.is_some(),
            down: self.down,
        }
    }

    /// Returns the whole state for a dump.
    pub fn status(&self, now: Timestamp) -> SchedulerStatus {
        let min_virtual_time =
            self.workspaces.values().map(|workspace| workspace.virtual_time).min().unwrap_or(0);
        let workspaces = self.workspaces.iter().map(|(id, workspace)| WorkspaceStatus {
            workspace: id.clone(),
            weight: workspace.weight,
            queued: workspace.queued() as u32,
            running: workspace.running,
            virtual_lead: workspace.virtual_time - min_virtual_time,
        });
        SchedulerStatus {
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

    /// Returns whether `job` would get a slot immediately.
    pub(super) fn can_start_at_once(&self, job: &Job) -> bool {
        if job.solo {
            return self.active() == 0 && self.solo_jobs.is_empty();
        }
        let class_waits = !self.arrivals(self.limits.class(job.estimated_tokens)).is_empty();
        !class_waits
            && self.solo_jobs.is_empty()
            && !self.is_solo_running()
            && self.active() < self.limits.slots
    }

    /// Returns the predicted time until a job in flight ends, in milliseconds.
    pub(super) fn time_to_next_slot_ms(&self) -> u64 {
        if self.active() < self.limits.slots && !self.is_solo_running() {
            return 0;
        }
        self.running.values().map(|job| self.remaining_ms(job)).min().unwrap_or(0)
    }

    /// Returns whether every job that holds a slot is predicted to end within `ms` milliseconds. Without a measured
    /// rate there is no prediction, and the result is `false`.
    pub(super) fn empties_within(&self, ms: u64) -> bool {
        self.rate.tokens_per_ms().is_some()
            && self.running.values().all(|job| job.paused_at.is_some() || self.remaining_ms(job) <= ms)
    }

    /// Returns the number of jobs that hold a slot.
    pub(super) fn active(&self) -> u32 {
        self.running.values().filter(|job| job.paused_at.is_none()).count() as u32
    }

    /// Returns the number of long jobs that hold a slot.
    pub(super) fn long_active(&self) -> u32 {
        let long = |job: &&super::Running| {
            job.paused_at.is_none() && self.limits.class(job.estimate) == JobClass::Long
        };
        self.running.values().filter(long).count() as u32
    }

    pub(super) fn is_solo_running(&self) -> bool {
        self.running.values().any(|job| job.solo)
    }

    pub(super) fn arrivals(&self, class: JobClass) -> &BTreeMap<u64, JobId> {
        match class {
            JobClass::Short => &self.short_arrivals,
            JobClass::Long => &self.long_arrivals,
        }
    }

    fn remaining_ms(&self, job: &super::Running) -> u64 {
        self.rate.millis_for(u64::from(job.estimate.saturating_sub(job.produced)), 1)
    }

    fn queued_tokens(&self, class: JobClass) -> u64 {
        self.workspaces.values().map(|workspace| workspace.queued_tokens(class)).sum()
    }

    /// Returns the tokens served until the waiting work of the job's workspace is done, if every workspace with work
    /// keeps submitting. Work that other workspaces submit later is served before the end of a long queue, so counting
    /// only the work that waits now would predict too short a wait.
    fn tokens_under_contention(&self, job: &Job, class: JobClass) -> u64 {
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

/// Returns a short job of an idle workspace, for which the wait is reported.
fn probe_job() -> Job {
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
