//! What changes the state of the scheduler from outside.

use fuchsiabay_base::{Timestamp, invariant, is_mechanism_enabled};

use super::{CancelOutcome, Crash, Scheduler, Suspect, Waiting};
use crate::{Command, DropReason, Job, JobId, Limits, Refusal, RefusalCause, workspace_queue::Queued};

/// The part of the queue, in percent, that only workspaces below their fair share may fill. Without it, one
/// workspace that fills the queue would have every other workspace refused.
const RESERVED_QUEUE_PERCENT: u64 = 25;

/// The shortest time after which a refused caller is told to try again, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// When a caller refused for a drain or a crash is told to try again, in milliseconds. A restart of a backend
/// server takes seconds.
const UNAVAILABLE_RETRY_AFTER_MS: u64 = 1_000;

impl Scheduler {
    /// Queues a job, or refuses it at once. A refused job never starts.
    pub fn submit(&mut self, now: Timestamp, job: Job) -> Result<(), Refusal> {
        self.drop_late(now);
        if let Some(cause) = self.refusal(now, &job) {
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

    /// Cancels a job. A running job stays in the table until [`Scheduler::finish`].
    pub fn cancel(&mut self, now: Timestamp, id: JobId) -> CancelOutcome {
        if self.remove_waiting(id).is_some() {
            self.dispatch(now);
            return CancelOutcome::Removed;
        }
        if !self.running.contains_key(&id) {
            return CancelOutcome::Unknown;
        }
        self.commands.push_back(Command::CancelRunning(id));
        CancelOutcome::Running
    }

    /// Records that a running job has produced `tokens` so far. A job that passes its estimate is charged and
    /// classified anew.
    pub fn progress(&mut self, now: Timestamp, id: JobId, tokens: u32) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        running.tokens = running.tokens.max(tokens);
        if running.tokens <= running.charged {
            return;
        }
        let extra = running.tokens - running.charged;
        running.charged = running.tokens;
        // The remaining length of a job that outran its estimate is unknown. Half as much again keeps it from
        // being taken for nearly done at every step.
        running.estimate = running.tokens.saturating_add(running.tokens / 2);
        if let Some(workspace) = self.workspaces.get_mut(&running.workspace) {
            workspace.charge(u64::from(extra));
        }
        self.dispatch(now);
    }

    /// Records the end of a running job that cost `tokens` in total. A job that was started and then did not run
    /// costs none.
    pub fn finish(&mut self, now: Timestamp, id: JobId, tokens: u32) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if running.solo {
            self.owed_before = self.next_arrival;
        }
        if running.paused_at.is_none() {
            self.rate.record(tokens, running.started, now);
        }
        if let Some(workspace) = self.workspaces.get_mut(&running.workspace) {
            workspace.running = workspace.running.saturating_sub(1);
            workspace.charge(u64::from(tokens.saturating_sub(running.charged)));
            workspace.refund(u64::from(running.charged.saturating_sub(tokens)));
        }
        self.forget_idle();
        self.dispatch(now);
    }

    /// Drops late jobs, and starts or pauses what has become due. Call it at [`Scheduler::next_deadline`].
    pub fn tick(&mut self, now: Timestamp) {
        self.drop_late(now);
        self.dispatch(now);
    }

    /// Puts new limits in force, for new and for waiting work. Nothing that waits or runs is lost.
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
        for (place, job) in queued {
            self.place(place, job);
        }
        invariant!(
            "limits-lose-nothing",
            before == self.waiting.len(),
            "{before} waited, {} wait",
            self.waiting.len()
        );
        self.dispatch(now);
    }

    /// Refuses new work for good and hands waiting work back. Running work goes on.
    pub fn drain(&mut self, now: Timestamp) {
        self.draining_since.get_or_insert(now);
        if is_mechanism_enabled("drain-hand-back") {
            self.drop_all(DropReason::Draining);
        }
        if !is_mechanism_enabled("drain-waits") {
            self.commands.extend(self.running.keys().map(|id| Command::CancelRunning(*id)));
        }
    }

    /// Records a crash of the backend server: everything that ran there is suspected, and waiting and paused work
    /// is handed back.
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
        self.forget_idle();
        crash
    }

    /// Refuses new work and hands waiting work back until [`Scheduler::backend_up`]. Jobs in flight stay.
    pub fn backend_down(&mut self) {
        self.down = true;
        self.drop_all(DropReason::BackendDown);
    }

    /// Accepts work again after a crash.
    pub fn backend_up(&mut self, now: Timestamp) {
        self.down = false;
        self.dispatch(now);
    }

    /// Returns the next command, oldest first. Commands are to be taken after each event, before the next one,
    /// because a later event may end the job that a command names.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    fn refusal(&self, now: Timestamp, job: &Job) -> Option<RefusalCause> {
        if self.draining_since.is_some() && is_mechanism_enabled("drain-refuses") {
            return Some(RefusalCause::Draining);
        }
        if self.down {
            return Some(RefusalCause::BackendDown);
        }
        if now >= job.deadline {
            return Some(RefusalCause::WouldMissDeadline);
        }
        // A free slot is worth a try even for work that is estimated to take too long.
        if self.can_start_at_once(job) {
            return None;
        }
        if now.plus_millis(self.safe_time_ms(now, job)) > job.deadline {
            return Some(RefusalCause::WouldMissDeadline);
        }
        let queued = self.waiting.len() as u64;
        let limit = u64::from(self.limits.queue_limit);
        if queued >= limit {
            return Some(RefusalCause::QueueFull);
        }
        let open_to_all = limit - limit * RESERVED_QUEUE_PERCENT / 100;
        (queued >= open_to_all && self.passes_queue_share(job)).then_some(RefusalCause::WorkspaceLimit)
    }

    /// Returns whether the workspace of `job` holds its share of the queue already. One more workspace of the
    /// same weight is counted in, so that room is left for the next one to come.
    fn passes_queue_share(&self, job: &Job) -> bool {
        let own = u64::from(job.weight.max(1));
        let others: u64 = self
            .workspaces
            .iter()
            .filter(|(id, workspace)| **id != job.workspace && !workspace.is_idle())
            .map(|(_, workspace)| u64::from(workspace.weight.max(1)))
            .sum();
        let share = (u64::from(self.limits.queue_limit) * own / (others + 2 * own)).max(1);
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
            let waiting = Waiting {
                workspace: queued.job.workspace.clone(),
                deadline: queued.job.deadline,
                place: None,
            };
            self.waiting.insert(queued.job.id, waiting);
            self.solos.push_back(queued);
            return;
        }
        self.place((std::cmp::Reverse(queued.job.priority), arrival), queued);
    }

    fn drop_late(&mut self, now: Timestamp) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            self.remove_waiting(id);
            self.commands.push_back(Command::Drop(id, DropReason::DeadlinePassed));
        }
    }

    fn drop_all(&mut self, reason: DropReason) {
        while let Some(&(_, id)) = self.deadlines.first() {
            self.remove_waiting(id);
            self.commands.push_back(Command::Drop(id, reason));
        }
    }

    /// Forgets idle workspaces that owe nothing. One that is ahead of the clock is kept, or it would be served
    /// as if it had used nothing.
    fn forget_idle(&mut self) {
        let clock = self.virtual_clock;
        self.workspaces.retain(|_, workspace| !workspace.is_idle() || workspace.virtual_time > clock);
    }
}
