//! A simulated backend server with its queue.

use std::collections::{BTreeMap, VecDeque};

use fuchsiabay_admission::{Command, Job as AdmissionJob, JobId, Limits, Scheduler};
use fuchsiabay_base::{Fingerprint, Generation, Timestamp};
use fuchsiabay_wire::LoadReport;

use super::job::Job;

/// Attempts that one server runs at the same time.
pub(crate) const SLOTS: u32 = 16;
/// Milliseconds per token of each running attempt. It does not depend on the batch, so that policies differ only
/// by the order of work and not by the model of the engine.
pub(crate) const MS_PER_TOKEN: u64 = 10;

/// What waits in front of the slots.
pub(crate) enum Queue {
    /// First in, first out, without limit.
    Fifo(VecDeque<usize>),
    /// The scheduler of the agent.
    Scheduled(Box<Scheduler>),
}

struct Running {
    remaining_tokens: u32,
    since: Timestamp,
    paused: bool,
    /// Distinguishes the end that is planned now from those planned before a pause.
    epoch: u32,
}

/// A simulated backend server.
pub(crate) struct Server {
    queue: Queue,
    running: BTreeMap<usize, Running>,
}

/// The planned end of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlannedEnd {
    pub(crate) at: Timestamp,
    pub(crate) job: usize,
    pub(crate) epoch: u32,
}

impl Server {
    pub(crate) fn fifo() -> Self {
        Self { queue: Queue::Fifo(VecDeque::new()), running: BTreeMap::new() }
    }

    pub(crate) fn scheduled(limits: Limits) -> Self {
        Self { queue: Queue::Scheduled(Box::new(Scheduler::new(limits))), running: BTreeMap::new() }
    }

    /// Admits job number `id`, or refuses it at once.
    pub(crate) fn submit(&mut self, now: Timestamp, id: usize, job: &Job) -> bool {
        let scheduler = match &mut self.queue {
            Queue::Fifo(waiting) => {
                waiting.push_back(id);
                return true;
            }
            Queue::Scheduled(scheduler) => scheduler,
        };
        let admission = AdmissionJob {
            id: JobId(id as u64),
            workspace: job.workspace.clone(),
            weight: 1,
            fingerprint: Fingerprint::of(&[&id.to_le_bytes()]),
            priority: 0,
            estimated_tokens: job.estimated_tokens,
            deadline: job.deadline,
            solo: false,
            pausable: true,
        };
        scheduler.submit(now, admission).is_ok()
    }

    /// Ends a running attempt. Returns false when the end was planned before a pause.
    pub(crate) fn finish(&mut self, now: Timestamp, end: PlannedEnd, job: &Job) -> bool {
        let planned = self.running.get(&end.job).is_some_and(|r| !r.paused && r.epoch == end.epoch);
        if !planned {
            return false;
        }
        self.running.remove(&end.job);
        if let Queue::Scheduled(scheduler) = &mut self.queue {
            scheduler.finish(now, JobId(end.job as u64), job.tokens);
        }
        true
    }

    /// Reports progress to the scheduler and lets it act on deadlines.
    pub(crate) fn tick(&mut self, now: Timestamp, jobs: &[Job]) {
        let Queue::Scheduled(scheduler) = &mut self.queue else {
            return;
        };
        for (&id, running) in self.running.iter().filter(|(_, running)| !running.paused) {
            let done = jobs[id].tokens - running.remaining_at(now);
            scheduler.progress(now, JobId(id as u64), done);
        }
        scheduler.tick(now);
    }

    /// Carries out what the queue decided and returns the ends that are now planned.
    pub(crate) fn advance(&mut self, now: Timestamp, jobs: &mut [Job]) -> Vec<PlannedEnd> {
        let mut ends = Vec::new();
        while let Some(command) = self.next_command() {
            match command {
                Command::Start(JobId(id)) => {
                    let id = id as usize;
                    jobs[id].started = Some(now);
                    let running =
                        Running { remaining_tokens: jobs[id].tokens, since: now, paused: false, epoch: 0 };
                    ends.push(running.planned_end(id));
                    self.running.insert(id, running);
                }
                Command::Drop(JobId(id), _) => jobs[id as usize].refused = Some(now),
                Command::Pause(JobId(id)) => {
                    if let Some(running) = self.running.get_mut(&(id as usize)) {
                        running.remaining_tokens = running.remaining_at(now);
                        running.paused = true;
                    }
                }
                Command::Resume(JobId(id)) => {
                    if let Some(running) = self.running.get_mut(&(id as usize)) {
                        running.paused = false;
                        running.since = now;
                        running.epoch += 1;
                        ends.push(running.planned_end(id as usize));
                    }
                }
                Command::CancelRunning(_) => {}
            }
        }
        ends
    }

    /// Returns when the scheduler wants its next tick.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        match &self.queue {
            Queue::Fifo(_) => None,
            Queue::Scheduled(scheduler) => scheduler.next_deadline(),
        }
    }

    /// Returns the load report at `now`.
    pub(crate) fn report(&self, now: Timestamp) -> LoadReport {
        match &self.queue {
            Queue::Fifo(waiting) => LoadReport {
                queued: waiting.len() as u32,
                running: self.running.len() as u32,
                slots: SLOTS,
                ..LoadReport::default()
            },
            Queue::Scheduled(scheduler) => {
                let load = scheduler.load(now);
                LoadReport {
                    generation: Generation(1),
                    queued: load.queued,
                    running: load.running,
                    slots: load.slots,
                    outstanding_tokens: load.outstanding_tokens,
                    predicted_wait_ms: load.predicted_wait_ms,
                    draining: load.draining,
                }
            }
        }
    }

    fn next_command(&mut self) -> Option<Command> {
        match &mut self.queue {
            Queue::Fifo(waiting) => {
                if self.running.len() >= SLOTS as usize {
                    return None;
                }
                waiting.pop_front().map(|id| Command::Start(JobId(id as u64)))
            }
            Queue::Scheduled(scheduler) => scheduler.next_command(),
        }
    }
}

impl Running {
    fn remaining_at(&self, now: Timestamp) -> u32 {
        let done = now.millis_since(self.since) / MS_PER_TOKEN;
        self.remaining_tokens.saturating_sub(done as u32)
    }

    fn planned_end(&self, job: usize) -> PlannedEnd {
        let at = self.since.plus_millis(u64::from(self.remaining_tokens) * MS_PER_TOKEN);
        PlannedEnd { at, job, epoch: self.epoch }
    }
}
