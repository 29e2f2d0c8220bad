//! The requests that wait for a place.

use fuchsiabay_base::Timestamp;

use super::{Job, JobId};

/// The requests that wait, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct Waiting {
    jobs: Vec<(JobId, Job)>,
}

impl Waiting {
    pub(super) fn push(&mut self, id: JobId, job: Job) {
        self.jobs.push((id, job));
    }

    pub(super) fn remove(&mut self, id: JobId) -> Option<Job> {
        let i = self.jobs.iter().position(|(other, _)| *other == id)?;
        Some(self.jobs.remove(i).1)
    }

    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns how many jobs would be served before `job`.
    pub(super) fn ahead_of(
        &self,
        job: &Job,
        latest_start: Timestamp,
        first_ms: u64,
        now: Timestamp,
    ) -> usize {
        let key = order_key(job, latest_start, now);
        let key_of = |other: &Job| order_key(other, latest_start_of(other, first_ms), now);
        self.jobs.iter().filter(|(_, other)| key_of(other) <= key).count()
    }

    /// Returns the job to serve first among those that `fits` accepts.
    pub(super) fn first(&self, first_ms: u64, now: Timestamp, fits: impl Fn(&Job) -> bool) -> Option<JobId> {
        let candidates = self.jobs.iter().filter(|(_, job)| job.deadline > now && fits(job));
        let key = |id: JobId, job: &Job| (order_key(job, latest_start_of(job, first_ms), now), id);
        candidates.min_by_key(|(id, job)| key(*id, job)).map(|(id, _)| *id)
    }

    /// Removes the jobs whose deadline has passed.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<JobId> {
        let expired = self.jobs.iter().filter(|(_, job)| job.deadline <= now).map(|(id, _)| *id).collect();
        self.jobs.retain(|(_, job)| job.deadline > now);
        expired
    }
}

/// Returns when a job must be sent at the latest to have its full value, if a response begins after `first_ms`.
pub(super) fn latest_start_of(job: &Job, first_ms: u64) -> Timestamp {
    job.goal_at.minus_millis(first_ms)
}

/// Orders jobs: streams that already reached their callers, then those that can still be on time, then the late ones; by
/// priority and goal in each.
///
/// IndexedConfig late jobs last keeps one burst from making every later request late, too.
fn order_key(job: &Job, latest_start: Timestamp, now: Timestamp) -> (bool, bool, u8, Timestamp) {
    (!job.is_resumption, latest_start < now, job.priority, job.goal_at)
}
