//! The queue of the requests that wait for a slot.

use fuchsiabay_base::Timestamp;

use super::{Job, JobId};
use crate::ShareLevel;

/// The waiting requests, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    jobs: Vec<(JobId, Job)>,
}

impl WaitQueue {
    pub(super) fn push(&mut self, id: JobId, job: Job) {
        self.jobs.push((id, job));
    }

    pub(super) fn remove(&mut self, id: JobId) -> Option<Job> {
        let i = self.jobs.iter().position(|(other, _)| *other == id)?;
        Some(self.jobs.remove(i).1)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &(JobId, Job)> {
        self.jobs.iter()
    }

    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs that would be served before `job` without fair shares.
    pub(super) fn count_ahead_of(
        &self,
        job: &Job,
        latest_start: Timestamp,
        first_byte_ms: u64,
        now: Timestamp,
    ) -> usize {
        let key = order_key(job, latest_start, ShareLevel::Near, now);
        let key_of =
            |other: &Job| order_key(other, latest_start_of(other, first_byte_ms), ShareLevel::Near, now);
        self.jobs.iter().filter(|(_, other)| key_of(other) <= key).count()
    }

    /// Returns the job to serve first among those that `fits` accepts.
    pub(super) fn first_fitting(
        &self,
        first_byte_ms: u64,
        now: Timestamp,
        level_of: impl Fn(&Job) -> ShareLevel,
        fits: impl Fn(&Job) -> bool,
    ) -> Option<JobId> {
        let candidates = self.jobs.iter().filter(|(_, job)| job.deadline > now && fits(job));
        let key = |id: JobId, job: &Job| {
            (order_key(job, latest_start_of(job, first_byte_ms), level_of(job), now), id)
        };
        candidates.min_by_key(|(id, job)| key(*id, job)).map(|(id, _)| *id)
    }

    /// Removes the jobs whose deadline has passed, and returns them.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<JobId> {
        let expired = self.jobs.iter().filter(|(_, job)| job.deadline <= now).map(|(id, _)| *id).collect();
        self.jobs.retain(|(_, job)| job.deadline > now);
        expired
    }
}

/// Returns when a job must be sent at the latest to meet its goal, if its response starts after `first_byte_ms`.
pub(super) fn latest_start_of(job: &Job, first_byte_ms: u64) -> Timestamp {
    job.goal_at.minus_millis(first_byte_ms)
}

/// Returns the sort key of a job: resumptions come first, then jobs that can still be on time, then late ones, each
/// ordered by priority, by how the usage of their workspace compares with its share, and by goal.
///
/// Serving late jobs last keeps one burst from making every later request late as well.
pub(super) fn order_key(
    job: &Job,
    latest_start: Timestamp,
    level: ShareLevel,
    now: Timestamp,
) -> (bool, bool, u8, ShareLevel, Timestamp) {
    (!job.is_resumption, latest_start < now, job.priority, level, job.goal_at)
}
