//! Operations that change the scheduler's state.

use fuchsiabay_base::{Timestamp, invariant, is_mechanism_enabled};

use super::{CancelOutcome, Crash, Scheduler, Suspect, Waiting};
use crate::{Command, DropReason, Job, JobId, Limits, Refusal, RefusalCause, workspace_queue::Queued};

/// The percentage of the queue that is reserved for workspaces below their fair share. Without it, one workspace
/// could fill the queue and cause every other workspace to be refused.
const RESERVED_QUEUE_PERCENT: u64 = 25;

/// The shortest retry delay that is reported to a refused caller, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// The retry delay reported to a caller that is refused because of a drain or a crash, in milliseconds. A restart
/// of a backend server takes seconds.
const UNAVAILABLE_RETRY_AFTER_MS: u64 = 1_000;

impl Scheduler {
    /// Queues a job, or refuses it immediately. A refused job never starts.
    pub fn submit(&mut self, now: Timestamp, job: Job) -> Result<(), Refusal> {
        self.drop_expired(now);
        if let Some(cause) = self.refusal_cause(now, &job) {
            return Err(Refusal { cause, retry_after_ms: self.retry_after_ms(cause) });
        }
        let clock = self.virtual_clock;
        let workspace = self.workspaces.entry(job.workspace.clone()).or_default();
        if workspace.is_idle() {
            workspace.virtual_time = workspace.virtual_time.max(clock);
        }
        workspace.weight = job.weight;
        self.deadlines.insert((job.deadline, job.id));
        self.enqueue(Queued { job, queued_at: now });
        self.dispatch(now);
        Ok(())
    }

    /// Cancels a job. A running job is kept until [`Scheduler::finish`] is called for it.
    pub fn cancel(&mut self, now: Timestamp, id: JobId) -> CancelOutcome {
        if self.remove_waiting(id).is_some() {
            self.dispatch(now);
            self.remove_idle_workspaces();
            return CancelOutcome::Removed;
        }
        if !self.running.contains_key(&id) {
            return CancelOutcome::Unknown;
        }
        self.commands.push_back(Command::CancelRunning(id));
        CancelOutcome::Running
    }

    /// Records that a running job has produced `tokens` so far. A job that exceeds its estimate is charged for the
    /// excess and reclassified.
    pub fn progress(&mut self, now: Timestamp, id: JobId, tokens: u32) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        running.produced = running.produced.max(tokens);
        if running.produced <= running.charged {
            return;
        }
        let extra = running.produced - running.charged;
        running.charged = running.produced;
        // The remaining length of a job that exceeded its estimate is unknown. The added half keeps it from
        // appearing nearly finished at every step.
        running.estimate = running.produced.saturating_add(running.produced / 2);
        if let Some(workspace) = self.workspaces.get_mut(&running.workspace) {
            workspace.charge(u64::from(extra));
        }
        self.dispatch(now);
    }

    /// Records the end of a running job that cost `tokens` in total. A job that was started but did not run costs
    /// none.
    pub fn finish(&mut self, now: Timestamp, id: JobId, tokens: u32) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if running.solo {
            self.solo_after_arrival = self.next_arrival;
        }
        if running.paused_at.is_none() {
            self.rate.record(tokens, running.started, now);
        }
        if let Some(workspace) = self.workspaces.get_mut(&running.workspace) {
            workspace.running = workspace.running.saturating_sub(1);
            workspace.charge(u64::from(tokens.saturating_sub(running.charged)));
            workspace.refund(u64::from(running.charged.saturating_sub(tokens)));
        }
        self.remove_idle_workspaces();
        self.dispatch(now);
    }

    /// Drops expired jobs, and starts or pauses jobs as they become due. Must be called at
    /// [`Scheduler::next_deadline`].
    pub fn tick(&mut self, now: Timestamp) {
        self.drop_expired(now);
        self.dispatch(now);
    }

    /// Applies new limits to new and waiting work. No waiting or running job is lost.
    pub fn apply_limits(&mut self, now: Timestamp, limits: Limits) {
        if limits == self.limits {
            return;
        }
        let before = self.waiting.len();
        self.limits = limits;
        let mut queued = Vec::with_capacity(before);
        for workspace in self.workspaces.values_mut() {
            queued.extend(workspace.take_all());
        }
        self.short_arrivals.clear();
        self.long_arrivals.clear();
        for (key, job) in queued {
            self.insert_waiting(key, job);
        }
        invariant!(
            "limits-lose-nothing",
            before == self.waiting.len(),
            "{before} jobs waited before the change, {} after it",
            self.waiting.len()
        );
        self.dispatch(now);
    }

    /// Refuses new work permanently and hands waiting work back. Running work continues.
    pub fn drain(&mut self, now: Timestamp) {
        self.draining_since.get_or_insert(now);
        if is_mechanism_enabled("drain-hand-back") {
            self.drop_waiting(DropReason::Draining);
        }
        if !is_mechanism_enabled("drain-waits") {
            self.commands.extend(self.running.keys().map(|id| Command::CancelRunning(*id)));
        }
    }

    /// Records a crash of the backend server: every job that was running there becomes a suspect, and waiting and
    /// paused jobs are handed back.
    pub fn backend_crashed(&mut self) -> Crash {
        self.backend_down();
        let mut crash = Crash::default();
        for (id, job) in std::mem::take(&mut self.running) {
            if let Some(workspace) = self.workspaces.get_mut(&job.workspace) {
                workspace.running = workspace.running.saturating_sub(1);
            }
            match job.paused_at {
                Some(_) => crash.handed_back.push(id),
                None => crash.suspects.push(Suspect { id, fingerprint: job.fingerprint }),
            }
        }
        self.remove_idle_workspaces();
        crash
    }

    /// Hands waiting work back and refuses new work until [`Scheduler::backend_up`]. Jobs in flight are kept.
    pub fn backend_down(&mut self) {
        self.down = true;
        self.drop_waiting(DropReason::BackendDown);
    }

    /// Accepts work again after [`Scheduler::backend_down`] or a crash.
    pub fn backend_up(&mut self, now: Timestamp) {
        self.down = false;
        self.dispatch(now);
    }

    /// Removes and returns the oldest command. Commands must be taken after each event and before the next one,
    /// because a later event may end the job that a command names.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    fn refusal_cause(&self, now: Timestamp, job: &Job) -> Option<RefusalCause> {
        if self.draining_since.is_some() && is_mechanism_enabled("drain-refuses") {
            return Some(RefusalCause::Draining);
        }
        if self.down {
            return Some(RefusalCause::BackendDown);
        }
        if now >= job.deadline {
            return Some(RefusalCause::WouldMissDeadline);
        }
        // With a free slot, even a job that is estimated to take too long is worth starting.
        if self.can_start_at_once(job) {
            return None;
        }
        if now.plus_millis(self.conservative_completion_ms(now, job)) > job.deadline {
            return Some(RefusalCause::WouldMissDeadline);
        }
        let queued = self.waiting.len() as u64;
        let limit = u64::from(self.limits.queue_limit);
        if queued >= limit {
            return Some(RefusalCause::QueueFull);
        }
        let open_to_all = limit - limit * RESERVED_QUEUE_PERCENT / 100;
        (queued >= open_to_all && self.holds_queue_share(job)).then_some(RefusalCause::WorkspaceLimit)
    }

    /// Returns whether the workspace of `job` already holds its share of the queue. The share is computed as if one
    /// more workspace of the same weight had work, so that room is left for the next workspace that arrives.
    fn holds_queue_share(&self, job: &Job) -> bool {
        let own_weight = u64::from(job.weight.max(1));
        let other_weights: u64 = self
            .workspaces
            .iter()
            .filter(|(id, workspace)| **id != job.workspace && !workspace.is_idle())
            .map(|(_, workspace)| u64::from(workspace.weight.max(1)))
            .sum();
        let share =
            (u64::from(self.limits.queue_limit) * own_weight / (other_weights + 2 * own_weight)).max(1);
        let queued = self.workspaces.get(&job.workspace).map_or(0, |workspace| workspace.queued() as u64);
        queued >= share
    }

    fn retry_after_ms(&self, cause: RefusalCause) -> u64 {
        match cause {
            RefusalCause::Draining | RefusalCause::BackendDown => UNAVAILABLE_RETRY_AFTER_MS,
            RefusalCause::QueueFull | RefusalCause::WorkspaceLimit | RefusalCause::WouldMissDeadline => {
                self.time_to_next_slot_ms().max(MIN_RETRY_AFTER_MS)
            }
        }
    }

    fn enqueue(&mut self, queued: Queued) {
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        if queued.job.solo {
            let waiting =
                Waiting { workspace: queued.job.workspace.clone(), deadline: queued.job.deadline, key: None };
            self.waiting.insert(queued.job.id, waiting);
            self.solo_jobs.push_back(queued);
            return;
        }
        self.insert_waiting((std::cmp::Reverse(queued.job.priority), arrival), queued);
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            self.remove_waiting(id);
            self.commands.push_back(Command::Drop(id, DropReason::DeadlinePassed));
        }
    }

    fn drop_waiting(&mut self, reason: DropReason) {
        while let Some(&(_, id)) = self.deadlines.first() {
            self.remove_waiting(id);
            self.commands.push_back(Command::Drop(id, reason));
        }
    }

    /// Removes idle workspaces whose virtual time is not ahead of the clock. One that is ahead is kept, because it
    /// would otherwise be served as if it had used nothing.
    fn remove_idle_workspaces(&mut self) {
        let clock = self.virtual_clock;
        self.workspaces.retain(|_, workspace| !workspace.is_idle() || workspace.virtual_time > clock);
    }
}
