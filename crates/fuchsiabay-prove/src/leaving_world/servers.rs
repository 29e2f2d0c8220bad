//! The agents and their backend servers.

use super::*;

impl LeavingWorld<'_> {
    pub(super) fn submit(&mut self, server: usize, attempt: u64, resume_from: u32) {
        let now = self.schedule.now();
        let late = |since: Timestamp| now > since.plus_millis(LEAVE_LIMIT_MS);
        // An entry instance that has just connected knows only a list that lags; the agent refuses what it sends.
        let known = self.entries[self.calls[self.attempts[&attempt]].entry].knows(server, now);
        if known && self.servers[server].leaving_since.is_some_and(late) {
            self.outcome.add_violation(format!("server {server} was sent work long after it began to leave"));
        }
        let call = self.attempts[&attempt];
        let Call { entry, tokens, plain, .. } = self.calls[call];
        let job = AdmissionJob {
            id: JobId(attempt),
            workspace: WorkspaceId::new("w"),
            weight: 1,
            fingerprint: Fingerprint::of(&[&(call as u64).to_le_bytes()]),
            priority: 1,
            estimated_tokens: (tokens - resume_from).max(1),
            deadline: now.plus_millis(DEADLINE_MS),
            solo: false,
            pausable: !plain,
        };
        let state = &mut self.servers[server];
        let job_state = Job { call, position: resume_from, run: 0 };
        state.jobs.insert(attempt, job_state);
        if let Err(refusal) = state.scheduler.submit(now, job) {
            state.jobs.remove(&attempt);
            let reason = match refusal.cause {
                RefusalCause::QueueFull => RefusalReason::QueueFull,
                RefusalCause::WorkspaceLimit => RefusalReason::WorkspaceLimit,
                RefusalCause::WouldMissDeadline => RefusalReason::WouldMissDeadline,
                RefusalCause::Draining => RefusalReason::Draining,
                RefusalCause::BackendDown => RefusalReason::BackendDown,
            };
            self.report(server, entry);
            let retry_after_ms = refusal.retry_after_ms;
            self.send_to_entry(server, entry, Event::Refused { attempt, server, reason, retry_after_ms });
        }
        self.obey(server);
    }

    /// Carries out what the scheduler of a server asks for.
    pub(super) fn obey(&mut self, server: usize) {
        let life = self.servers[server].life;
        while let Some(command) = self.servers[server].scheduler.next_command() {
            match command {
                AgentCommand::Start(id) => self.start(server, id.0),
                AgentCommand::Drop(id, reason) => {
                    let error = match reason {
                        DropReason::Draining => AttemptError::Draining,
                        DropReason::DeadlinePassed => AttemptError::DeadlinePassed,
                        DropReason::BackendDown => AttemptError::BackendLost,
                    };
                    self.end(server, id.0, Verdict::NotRun, Some(error));
                }
                AgentCommand::CancelRunning(id) => {
                    let position = self.servers[server].jobs.get(&id.0).map_or(0, |job| job.position);
                    self.servers[server].scheduler.finish(self.schedule.now(), id, position);
                    self.end(server, id.0, Verdict::MayHaveRun, Some(AttemptError::Cancelled));
                }
                AgentCommand::Pause(id) => {
                    if let Some(job) = self.servers[server].jobs.get_mut(&id.0) {
                        job.run += 1;
                    }
                }
                AgentCommand::Resume(id) => {
                    if let Some(job) = self.servers[server].jobs.get_mut(&id.0) {
                        job.run += 1;
                        let run = job.run;
                        self.schedule.after(TOKEN_MS, Event::Produce { server, life, attempt: id.0, run });
                    }
                }
            }
        }
        if let Some(due) = self.servers[server].scheduler.next_deadline() {
            // A deadline that stays due would keep the time from moving on.
            let due = due.max(self.schedule.now().plus_millis(1));
            if self.servers[server].due.is_none_or(|set| due < set || set <= self.schedule.now()) {
                self.servers[server].due = Some(due);
                self.schedule.at(due, Event::SchedulerDue { server, life });
            }
        }
    }

    pub(super) fn start(&mut self, server: usize, attempt: u64) {
        let state = &mut self.servers[server];
        if state.draining {
            self.outcome
                .add_violation(format!("server {server} started work after its agent began to drain"));
        }
        let life = state.life;
        if let Some(job) = state.jobs.get(&attempt) {
            let run = job.run;
            self.schedule.after(TOKEN_MS, Event::Produce { server, life, attempt, run });
        }
    }

    pub(super) fn produce(&mut self, server: usize, life: u64, attempt: u64, run: u64) {
        if !self.servers[server].serves(life) {
            return;
        }
        let now = self.schedule.now();
        let Some(job) = self.servers[server].jobs.get_mut(&attempt).filter(|job| job.run == run) else {
            return;
        };
        let call = &self.calls[job.call];
        let (total, entry, plain) = (call.tokens, call.entry, call.plain);
        let (first, count) = (job.position, self.rng.u32(1..5).min(total - job.position));
        job.position += count;
        let position = job.position;
        self.servers[server].scheduler.progress(now, JobId(attempt), position);
        if count > 0 && !plain {
            let text = answer(first, position).into_bytes();
            let tokens = Tokens { attempt: AttemptId(attempt), first, count: count as u16, text };
            self.send_to_entry(server, entry, Event::Tokens { tokens });
        }
        if position == total {
            self.servers[server].scheduler.finish(now, JobId(attempt), total);
            self.end(server, attempt, Verdict::Ran, None);
        } else {
            let ms = TOKEN_MS * u64::from(count);
            self.schedule.after(ms, Event::Produce { server, life, attempt, run });
        }
        self.obey(server);
    }

    pub(super) fn end(&mut self, server: usize, attempt: u64, verdict: Verdict, error: Option<AttemptError>) {
        let Some(job) = self.servers[server].jobs.remove(&attempt) else {
            return;
        };
        let call = &self.calls[job.call];
        let entry = call.entry;
        let response = (call.plain && error.is_none()).then(|| PlainResponse {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Vec::new(),
        });
        let end = End { attempt: AttemptId(attempt), verdict, total_tokens: job.position, error, response };
        self.send_to_entry(server, entry, Event::End { end });
    }

    pub(super) fn notice(&mut self, server: usize, life: u64) {
        let now = self.schedule.now();
        let state = &mut self.servers[server];
        if !state.serves(life) {
            return;
        }
        state.scheduler.drain(now);
        state.draining = true;
        self.obey(server);
        self.schedule.after(DRAIN_POLL_MS, Event::MayStop { server, life });
    }

    pub(super) fn stop_if_drained(&mut self, server: usize, life: u64) {
        let state = &mut self.servers[server];
        if !state.serves(life) {
            return;
        }
        if state.scheduler.may_stop(self.schedule.now()) {
            state.drained = true;
            return self.stop(server);
        }
        self.schedule.after(DRAIN_POLL_MS, Event::MayStop { server, life });
    }

    pub(super) fn stop(&mut self, server: usize) {
        let life = self.servers[server].life;
        let gone_ms = self.servers[server].gone_ms;
        self.servers[server].stop();
        for entry in 0..ENTRIES {
            self.send_to_entry(server, entry, Event::Closed { entry, server, life });
        }
        self.schedule.after(gone_ms, Event::Rejoin { server });
    }

    /// The next life begins. Whatever the list still says about the last one arrives later.
    pub(super) fn rejoin(&mut self, server: usize) {
        let listed_leaving = self.servers[server].leaving_since.is_some();
        let list_ms = self.servers[server].list_ms;
        self.servers[server].start();
        if listed_leaving {
            self.list(server, true, list_ms);
        }
        self.outcome.add_fact(format!("server {server}"), format!("lives: {}", self.servers[server].life));
    }

    pub(super) fn stop_entry_if_drained(&mut self, entry: usize) {
        if self.calls.iter().any(|call| call.entry == entry && call.result.is_none()) {
            return self.schedule.after(DRAIN_POLL_MS, Event::EntryMayStop { entry });
        }
        self.entries[entry].stopped = true;
        let gone_ms = self.entries[entry].gone_ms.unwrap_or_default();
        self.schedule.after(gone_ms, Event::EntryReturns { entry });
    }

    /// Calls with an attempt at a server that dies are covered by other promises.
    pub(super) fn excuse(&mut self, server: usize) {
        let writer = writer(server, self.servers[server].life);
        for call in &mut self.calls {
            if call.machine.in_flight().is_some_and(|(_, target)| *target.id() == writer) {
                call.excused = true;
            }
        }
    }
}
