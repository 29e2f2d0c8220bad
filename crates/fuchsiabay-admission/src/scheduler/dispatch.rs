//! Selection of the next job to run.

use fuchsiabay_base::{Timestamp, invariant};

use super::{Running, Scheduler, Waiting};
use crate::{
    Command, JobClass, JobId,
    workspace_queue::{QueueKey, Queued},
};

/// The longest predicted time to an empty backend server for which a suspected job holds up other work before it has
/// aged, in milliseconds. It is below the usual time to first token, so that short work is hardly delayed.
const MAX_SOLO_HOLD_MS: u64 = 250;

/// The job to start or resume in the next free slot.
enum NextJob {
    Solo,
    Waiting(JobClass),
    Paused(JobId),
}

impl Scheduler {
    /// Starts jobs in the free slots, and pauses long jobs if short work has waited long enough.
    pub(super) fn dispatch(&mut self, now: Timestamp) {
        while let Some(next) = self.next_job(now) {
            match next {
                NextJob::Solo => self.start_solo(now),
                NextJob::Waiting(class) => self.start_waiting(now, class),
                NextJob::Paused(id) => self.resume(now, id),
            }
        }
        self.pause_beyond_share(now);
    }

    fn next_job(&self, now: Timestamp) -> Option<NextJob> {
        if self.down || self.active() >= self.limits.slots || self.is_solo_running() {
            return None;
        }
        if let Some(solo) = self.solo_jobs.front().filter(|_| !self.job_precedes_solo()) {
            // Paused jobs do not count, because they are off the backend server.
            if self.active() == 0 {
                return Some(NextJob::Solo);
            }
            // Other starts are held up once the suspected job has aged, because a busy backend server would never
            // run it otherwise, and also while the wait for an empty backend server is short.
            let aged = solo.queued_at.plus_millis(self.limits.ageing_ms) <= now;
            if aged || self.empties_within(MAX_SOLO_HOLD_MS) {
                return None;
            }
        }
        let paused = self.oldest_paused();
        let short_waits = !self.short_arrivals.is_empty();
        let within_share = self.long_active() < self.limits.long_slots();
        if within_share && self.long_aged(now) {
            return Some(self.next_long(paused));
        }
        if short_waits {
            return Some(NextJob::Waiting(JobClass::Short));
        }
        (paused.is_some() || !self.long_arrivals.is_empty()).then(|| self.next_long(paused))
    }

    /// Returns whether a waiting job takes precedence over the next suspected job.
    fn job_precedes_solo(&self) -> bool {
        let first = self.short_arrivals.keys().next().into_iter().chain(self.long_arrivals.keys().next());
        first.min().is_some_and(|arrival| *arrival < self.solo_after_arrival)
    }

    /// Prefers a paused job to one that was never started, because slot time and cache are already spent on it.
    fn next_long(&self, paused: Option<(JobId, Timestamp)>) -> NextJob {
        paused.map_or(NextJob::Waiting(JobClass::Long), |(id, _)| NextJob::Paused(id))
    }

    fn long_aged(&self, now: Timestamp) -> bool {
        let aged = |since: Timestamp| since.plus_millis(self.limits.ageing_ms) <= now;
        self.oldest_paused().is_some_and(|(_, since)| aged(since))
            || self.oldest_queued_at(JobClass::Long).is_some_and(aged)
    }

    fn oldest_paused(&self) -> Option<(JobId, Timestamp)> {
        self.running
            .iter()
            .filter_map(|(id, job)| Some((*id, job.paused_at?)))
            .min_by_key(|(_, since)| *since)
    }

    pub(super) fn oldest_queued_at(&self, class: JobClass) -> Option<Timestamp> {
        let id = self.arrivals(class).values().next()?;
        let waiting = self.waiting.get(id)?;
        let (class, key) = waiting.key?;
        Some(self.workspaces.get(&waiting.workspace)?.class(class).get(&key)?.queued_at)
    }

    fn start_solo(&mut self, now: Timestamp) {
        let Some(queued) = self.solo_jobs.pop_front() else {
            return;
        };
        invariant!(
            "solo-runs-alone",
            self.active() == 0,
            "{} starts beside {} other jobs",
            queued.job.id,
            self.active()
        );
        self.waiting.remove(&queued.job.id);
        self.deadlines.remove(&(queued.job.deadline, queued.job.id));
        self.start(now, queued);
    }

    fn start_waiting(&mut self, now: Timestamp, class: JobClass) {
        let Some(id) = self.deadline_critical(now, class).or_else(|| self.fairest(class)) else {
            invariant!("arrivals-match-queues", false, "no workspace has {class:?} work");
            self.arrivals_mut(class).clear();
            return;
        };
        invariant!(
            "long-share",
            class == JobClass::Short
                || self.short_arrivals.is_empty()
                || self.long_active() < self.limits.long_slots(),
            "a long job starts while {} long jobs run and short work waits",
            self.long_active()
        );
        if let Some(queued) = self.remove_waiting(id) {
            self.start(now, queued);
        }
    }

    /// Returns the job with the earliest deadline, if it must start now to meet that deadline.
    ///
    /// Admission promised that it would, but work that other workspaces submitted later may run before it. A caller
    /// gains nothing from a short deadline, because admission refuses a job whose deadline the fair order would miss.
    fn deadline_critical(&self, now: Timestamp, class: JobClass) -> Option<JobId> {
        let &(deadline, id) = self.deadlines.first()?;
        let waiting = self.waiting.get(&id)?;
        let (own, key) = waiting.key.filter(|(own, _)| *own == class)?;
        let queued = self.workspaces.get(&waiting.workspace)?.class(own).get(&key)?;
        (now.plus_millis(self.conservative_service_ms(&queued.job)) >= deadline).then_some(id)
    }

    /// Returns the first job of the class in the workspace with the lowest virtual time.
    fn fairest(&self, class: JobClass) -> Option<JobId> {
        self.workspaces
            .values()
            .filter_map(|workspace| {
                let (_, queued) = workspace.class(class).first_key_value()?;
                Some((workspace.virtual_time, queued.job.id))
            })
            .min_by_key(|(virtual_time, _)| *virtual_time)
            .map(|(_, id)| id)
    }

    fn start(&mut self, now: Timestamp, queued: Queued) {
        let Queued { job, .. } = queued;
        if let Some(workspace) = self.workspaces.get_mut(&job.workspace) {
            self.virtual_clock = self.virtual_clock.max(workspace.virtual_time);
            workspace.charge(u64::from(job.estimated_tokens));
            workspace.running += 1;
        }
        let running = Running {
            workspace: job.workspace,
            fingerprint: job.fingerprint,
            estimate: job.estimated_tokens,
            charged: job.estimated_tokens,
            produced: 0,
            started: now,
            solo: job.solo,
            pausable: job.pausable,
            paused_at: None,
        };
        let previous = self.running.insert(job.id, running);
        invariant!("one-start-per-job", previous.is_none(), "{} was started twice", job.id);
        invariant!(
            "slots",
            self.active() <= self.limits.slots,
            "{} jobs run in {} slots",
            self.active(),
            self.limits.slots
        );
        self.commands.push_back(Command::Start(job.id));
    }

    fn resume(&mut self, now: Timestamp, id: JobId) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        // The time spent paused is excluded from the measured rate.
        let paused_ms = running.paused_at.take().map_or(0, |since| now.millis_since(since));
        running.started = running.started.plus_millis(paused_ms);
        self.commands.push_back(Command::Resume(id));
    }

    fn pause_beyond_share(&mut self, now: Timestamp) {
        let Some(due) = self.pause_due() else {
            return;
        };
        if due > now {
            return;
        }
        // One slot for each waiting short job, up to the number of long jobs beyond the share.
        let pauses = self.short_arrivals.len().min(self.long_jobs_beyond_share() as usize);
        for _ in 0..pauses {
            let Some(id) = self.pause_candidate() else {
                return;
            };
            if let Some(running) = self.running.get_mut(&id) {
                running.paused_at = Some(now);
            }
            self.commands.push_back(Command::Pause(id));
            // A preset may have lowered the slots below the number of running jobs.
            if self.active() < self.limits.slots {
                self.start_waiting(now, JobClass::Short);
            }
        }
    }

    /// Returns when a long job must be paused in favour of short work, if one is running that can be paused.
    pub(super) fn pause_due(&self) -> Option<Timestamp> {
        let after_ms = self.limits.pause_after_ms?;
        // A suspected job waits for everything in flight to end, and a pause would delay that.
        if self.down
            || self.is_solo_running()
            || !self.solo_jobs.is_empty()
            || self.long_jobs_beyond_share() == 0
        {
            return None;
        }
        self.pause_candidate()?;
        Some(self.oldest_queued_at(JobClass::Short)?.plus_millis(after_ms))
    }

    fn long_jobs_beyond_share(&self) -> u32 {
        self.long_active().saturating_sub(self.limits.long_slots())
    }

    /// Returns the pausable long job that started last, because a pause costs it the least.
    fn pause_candidate(&self) -> Option<JobId> {
        self.running
            .iter()
            .filter(|(_, job)| {
                job.pausable && job.paused_at.is_none() && self.limits.class(job.estimate) == JobClass::Long
            })
            .max_by_key(|(id, job)| (job.started, **id))
            .map(|(id, _)| *id)
    }

    /// Adds a job to the queue of its workspace, in its class under the limits in force.
    pub(super) fn insert_waiting(&mut self, key: QueueKey, queued: Queued) {
        let class = self.limits.class(queued.job.estimated_tokens);
        let waiting = Waiting {
            workspace: queued.job.workspace.clone(),
            deadline: queued.job.deadline,
            key: Some((class, key)),
        };
        self.arrivals_mut(class).insert(key.1, queued.job.id);
        self.waiting.insert(queued.job.id, waiting);
        let workspace = self.workspaces.entry(queued.job.workspace.clone()).or_default();
        workspace.insert(class, key, queued);
    }

    /// Removes a waiting job, so that it can no longer start.
    pub(super) fn remove_waiting(&mut self, id: JobId) -> Option<Queued> {
        let Waiting { workspace, deadline, key } = self.waiting.remove(&id)?;
        self.deadlines.remove(&(deadline, id));
        let Some((class, key)) = key else {
            let at = self.solo_jobs.iter().position(|queued| queued.job.id == id)?;
            return self.solo_jobs.remove(at);
        };
        self.arrivals_mut(class).remove(&key.1);
        self.workspaces.get_mut(&workspace)?.remove(class, key)
    }

    fn arrivals_mut(&mut self, class: JobClass) -> &mut std::collections::BTreeMap<u64, JobId> {
        match class {
            JobClass::Short => &mut self.short_arrivals,
            JobClass::Long => &mut self.long_arrivals,
        }
    }
}
