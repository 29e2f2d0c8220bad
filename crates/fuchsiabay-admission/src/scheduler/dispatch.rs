//! The choice of the next job.

use fuchsiabay_base::{Timestamp, invariant};

use super::{Running, Scheduler, Waiting};
use crate::{
    Command, JobClass, JobId,
    workspace_queue::{Place, Queued},
};

/// The longest wait for an empty backend server that a suspected job may cause before it aged, in milliseconds. It is
/// below the usual time to first token, so that short work hardly notices it.
const SOLO_DRAIN_MS: u64 = 250;

/// What to start in the next free slot.
enum Next {
    Solo,
    Waiting(JobClass),
    Paused(JobId),
}

impl Scheduler {
    /// Starts what the free slots allow, and pauses a long job if short work waited long enough.
    pub(super) fn dispatch(&mut self, now: Timestamp) {
        while let Some(next) = self.next(now) {
            match next {
                Next::Solo => self.start_solo(now),
                Next::Waiting(class) => self.start_waiting(now, class),
                Next::Paused(id) => self.resume(now, id),
            }
        }
        self.pause_beyond_share(now);
    }

    fn next(&self, now: Timestamp) -> Option<Next> {
        if self.down || self.active() >= self.limits.slots || self.solo_runs() {
            return None;
        }
        if let Some(solo) = self.solos.front().filter(|_| !self.owes_a_turn()) {
            // Paused jobs are not on the backend server.
            if self.active() == 0 {
                return Some(Next::Solo);
            }
            // A suspected job stops further starts once it aged, or a busy backend server would never run it, and
            // while the wait for an empty backend server is short.
            let aged = solo.queued_at.plus_millis(self.limits.ageing_ms) <= now;
            if aged || self.empties_within(SOLO_DRAIN_MS) {
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
            return Some(Next::Waiting(JobClass::Short));
        }
        (paused.is_some() || !self.long_arrivals.is_empty()).then(|| self.next_long(paused))
    }

    /// Returns whether work waits that goes before the next suspected job.
    fn owes_a_turn(&self) -> bool {
        let first = self.short_arrivals.keys().next().into_iter().chain(self.long_arrivals.keys().next());
        first.min().is_some_and(|arrival| *arrival < self.owed_before)
    }

    /// A paused job goes before one that was never started, because its slot time and cache are spent already.
    fn next_long(&self, paused: Option<(JobId, Timestamp)>) -> Next {
        paused.map_or(Next::Waiting(JobClass::Long), |(id, _)| Next::Paused(id))
    }

    fn long_aged(&self, now: Timestamp) -> bool {
        let aged = |since: Timestamp| since.plus_millis(self.limits.ageing_ms) <= now;
        self.oldest_paused().is_some_and(|(_, since)| aged(since))
            || self.oldest_arrival(JobClass::Long).is_some_and(aged)
    }

    fn oldest_paused(&self) -> Option<(JobId, Timestamp)> {
        self.running
            .iter()
            .filter_map(|(id, job)| Some((*id, job.paused_at?)))
            .min_by_key(|(_, since)| *since)
    }

    pub(super) fn oldest_arrival(&self, class: JobClass) -> Option<Timestamp> {
        let id = self.arrivals(class).values().next()?;
        let waiting = self.waiting.get(id)?;
        let (class, place) = waiting.place?;
        Some(self.workspaces.get(&waiting.workspace)?.class(class).get(&place)?.queued_at)
    }

    fn start_solo(&mut self, now: Timestamp) {
        let Some(queued) = self.solos.pop_front() else {
            return;
        };
        invariant!(
            "solo-runs-alone",
            self.active() == 0,
            "{} starts beside {}",
            queued.job.id,
            self.active()
        );
        self.waiting.remove(&queued.job.id);
        self.deadlines.remove(&(queued.job.deadline, queued.job.id));
        self.start(now, queued);
    }

    fn start_waiting(&mut self, now: Timestamp, class: JobClass) {
        let Some(id) = self.urgent(now, class).or_else(|| self.fairest(class)) else {
            invariant!("arrivals-match-queues", false, "no workspace has {class:?} work");
            self.arrivals_mut(class).clear();
            return;
        };
        invariant!(
            "long-share",
            class == JobClass::Short
                || self.short_arrivals.is_empty()
                || self.long_active() < self.limits.long_slots(),
            "long work starts with {} running and short work waiting",
            self.long_active()
        );
        if let Some(queued) = self.remove_waiting(id) {
            self.start(now, queued);
        }
    }

    /// Returns the job with the first deadline, if it must start now to meet it.
    ///
    /// Admission promised that it would, but work that other workspaces sent later may go before it. Short deadlines gain
    /// nothing from this, because admission refuses them when the fair order would miss them.
    fn urgent(&self, now: Timestamp, class: JobClass) -> Option<JobId> {
        let &(deadline, id) = self.deadlines.first()?;
        let waiting = self.waiting.get(&id)?;
        let (own, place) = waiting.place.filter(|(own, _)| *own == class)?;
        let queued = self.workspaces.get(&waiting.workspace)?.class(own).get(&place)?;
        (now.plus_millis(self.safe_service_ms(&queued.job)) >= deadline).then_some(id)
    }

    /// Returns the first job of the class in the workspace with the least virtual time.
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
            tokens: 0,
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
        // The paused time is left out of the measured speed.
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
        // One slot for each waiting short job, as far as long work is beyond its share.
        let wanted = self.short_arrivals.len().min(self.beyond_share() as usize);
        for _ in 0..wanted {
            let Some(id) = self.pause_candidate() else {
                return;
            };
            if let Some(running) = self.running.get_mut(&id) {
                running.paused_at = Some(now);
            }
            self.commands.push_back(Command::Pause(id));
            // A preset may have lowered the slots below what runs.
            if self.active() < self.limits.slots {
                self.start_waiting(now, JobClass::Short);
            }
        }
    }

    /// Returns when a long job is to be paused for short work, if one is running that can be.
    pub(super) fn pause_due(&self) -> Option<Timestamp> {
        let after_ms = self.limits.pause_after_ms?;
        // A suspected job waits for everything in flight to end, which a pause would delay.
        if self.down || self.solo_runs() || !self.solos.is_empty() || self.beyond_share() == 0 {
            return None;
        }
        self.pause_candidate()?;
        Some(self.oldest_arrival(JobClass::Short)?.plus_millis(after_ms))
    }

    fn beyond_share(&self) -> u32 {
        self.long_active().saturating_sub(self.limits.long_slots())
    }

    /// The long job that started last loses the least.
    fn pause_candidate(&self) -> Option<JobId> {
        self.running
            .iter()
            .filter(|(_, job)| {
                job.pausable && job.paused_at.is_none() && self.limits.class(job.estimate) == JobClass::Long
            })
            .max_by_key(|(id, job)| (job.started, **id))
            .map(|(id, _)| *id)
    }

    /// Puts a job into the queue of its workspace, in the class that the limits in force give it.
    pub(super) fn place(&mut self, place: Place, queued: Queued) {
        let class = self.limits.class(queued.job.estimated_tokens);
        let waiting = Waiting {
            workspace: queued.job.workspace.clone(),
            deadline: queued.job.deadline,
            place: Some((class, place)),
        };
        self.arrivals_mut(class).insert(place.1, queued.job.id);
        self.waiting.insert(queued.job.id, waiting);
        let workspace = self.workspaces.entry(queued.job.workspace.clone()).or_default();
        workspace.insert(class, place, queued);
    }

    /// Removes a waiting job, which makes its start impossible.
    pub(super) fn remove_waiting(&mut self, id: JobId) -> Option<Queued> {
        let Waiting { workspace, deadline, place } = self.waiting.remove(&id)?;
        self.deadlines.remove(&(deadline, id));
        let Some((class, place)) = place else {
            let at = self.solos.iter().position(|queued| queued.job.id == id)?;
            return self.solos.remove(at);
        };
        self.arrivals_mut(class).remove(&place.1);
        self.workspaces.get_mut(&workspace)?.remove(class, place)
    }

    fn arrivals_mut(&mut self, class: JobClass) -> &mut std::collections::BTreeMap<u64, JobId> {
        match class {
            JobClass::Short => &mut self.short_arrivals,
            JobClass::Long => &mut self.long_arrivals,
        }
    }
}
