//! The agents and their backend servers.

use super::*;

impl LeavingWorld<'_> {
    pub(super) fn submit(&mut self, server: usize, attempt: u64, resume_from: u32) {
        let now = self.schedule.now();
        let late = |since: Timestamp| now > since.plus_millis(MAX_SUBMIT_AFTER_LEAVE_MS);
        // An entry instance that has just connected knows only the instance list, which lags. The agent refuses the
        // work that it sends.
        let knows_load =
            self.entries[self.calls[self.attempts[&attempt]].entry].has_first_report(server, now);
        if knows_load && self.servers[server].leaving_since.is_some_and(late) {
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
        let job_state = Job { call, position: resume_from, pause_epoch: 0 };
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
        self.execute_scheduler_commands(server);
    }

    /// Executes the commands of a server's scheduler.
    pub(super) fn execute_scheduler_commands(&mut self, server: usize) {
        let incarnation = self.servers[server].incarnation;
        while let Some(command) = self.servers[server].scheduler.next_command() {
            match command {
                AgentCommand::Start(id) => self.start_job(server, id.0),
                AgentCommand::Drop(id, reason) => {
                    let error = match reason {
                        DropReason::Draining => AttemptError::Draining,
                        DropReason::DeadlinePassed => AttemptError::DeadlinePassed,
                        DropReason::BackendDown => AttemptError::BackendLost,
                    };
                    self.end_attempt(server, id.0, Verdict::NotRun, Some(error));
                }
                AgentCommand::CancelRunning(id) => {
                    let position = self.servers[server].jobs.get(&id.0).map_or(0, |job| job.position);
                    self.servers[server].scheduler.finish(self.schedule.now(), id, position);
                    self.end_attempt(server, id.0, Verdict::MayHaveRun, Some(AttemptError::Cancelled));
                }
                AgentCommand::Pause(id) => {
                    if let Some(job) = self.servers[server].jobs.get_mut(&id.0) {
                        job.pause_epoch += 1;
                    }
                }
                AgentCommand::Resume(id) => {
                    if let Some(job) = self.servers[server].jobs.get_mut(&id.0) {
                        job.pause_epoch += 1;
                        let pause_epoch = job.pause_epoch;
                        self.schedule.after(
                            TOKEN_MS,
                            Event::ProduceTokens { server, incarnation, attempt: id.0, pause_epoch },
                        );
                    }
                }
            }
        }
        if let Some(deadline) = self.servers[server].scheduler.next_deadline() {
            // A deadline that has passed would keep virtual time from advancing.
            let tick_at = deadline.max(self.schedule.now().plus_millis(1));
            if self.servers[server].tick_at.is_none_or(|set| tick_at < set || set <= self.schedule.now()) {
                self.servers[server].tick_at = Some(tick_at);
                self.schedule.at(tick_at, Event::SchedulerTick { server, incarnation });
            }
        }
    }

    pub(super) fn start_job(&mut self, server: usize, attempt: u64) {
        let state = &mut self.servers[server];
        if state.draining {
            self.outcome
                .add_violation(format!("server {server} started work after its agent began to drain"));
        }
        let incarnation = state.incarnation;
        if let Some(job) = state.jobs.get(&attempt) {
            let pause_epoch = job.pause_epoch;
            self.schedule.after(TOKEN_MS, Event::ProduceTokens { server, incarnation, attempt, pause_epoch });
        }
    }

    pub(super) fn produce_tokens(&mut self, server: usize, incarnation: u64, attempt: u64, pause_epoch: u64) {
        if !self.servers[server].is_running(incarnation) {
            return;
        }
        let now = self.schedule.now();
        let Some(job) =
            self.servers[server].jobs.get_mut(&attempt).filter(|job| job.pause_epoch == pause_epoch)
        else {
            return;
        };
        let call = &self.calls[job.call];
        let (total, entry, plain) = (call.tokens, call.entry, call.plain);
        let (first, count) = (job.position, self.rng.u32(1..5).min(total - job.position));
        job.position += count;
        let position = job.position;
        self.servers[server].scheduler.progress(now, JobId(attempt), position);
        if count > 0 && !plain {
            let text = response_text(first, position).into_bytes();
            let tokens = Tokens { attempt: AttemptId(attempt), first, count: count as u16, text };
            self.send_to_entry(server, entry, Event::Tokens { tokens });
        }
        if position == total {
            self.servers[server].scheduler.finish(now, JobId(attempt), total);
            self.end_attempt(server, attempt, Verdict::Ran, None);
        } else {
            let ms = TOKEN_MS * u64::from(count);
            self.schedule.after(ms, Event::ProduceTokens { server, incarnation, attempt, pause_epoch });
        }
        self.execute_scheduler_commands(server);
    }

    pub(super) fn end_attempt(
        &mut self,
        server: usize,
        attempt: u64,
        verdict: Verdict,
        error: Option<AttemptError>,
    ) {
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

    pub(super) fn begin_drain(&mut self, server: usize, incarnation: u64) {
        let now = self.schedule.now();
        let state = &mut self.servers[server];
        if !state.is_running(incarnation) {
            return;
        }
        state.scheduler.drain(now);
        state.draining = true;
        self.execute_scheduler_commands(server);
        self.schedule.after(DRAIN_POLL_INTERVAL_MS, Event::CheckDrained { server, incarnation });
    }

    pub(super) fn stop_if_drained(&mut self, server: usize, incarnation: u64) {
        let state = &mut self.servers[server];
        if !state.is_running(incarnation) {
            return;
        }
        if state.scheduler.may_stop(self.schedule.now()) {
            state.drained = true;
            return self.stop_server(server);
        }
        self.schedule.after(DRAIN_POLL_INTERVAL_MS, Event::CheckDrained { server, incarnation });
    }

    pub(super) fn stop_server(&mut self, server: usize) {
        let incarnation = self.servers[server].incarnation;
        let down_ms = self.servers[server].down_ms;
        self.servers[server].stop();
        for entry in 0..ENTRIES {
            self.send_to_entry(server, entry, Event::ConnectionClosed { entry, server, incarnation });
        }
        self.schedule.after(down_ms, Event::RestartServer { server });
    }

    /// Starts the next incarnation of a server. List changes about the previous one may still arrive afterwards.
    pub(super) fn restart_server(&mut self, server: usize) {
        let listed_leaving = self.servers[server].leaving_since.is_some();
        let list_lag_ms = self.servers[server].list_lag_ms;
        self.servers[server].start();
        if listed_leaving {
            self.change_list(server, true, list_lag_ms);
        }
        self.outcome
            .add_fact(format!("server {server}"), format!("lives: {}", self.servers[server].incarnation));
    }

    pub(super) fn stop_entry_if_drained(&mut self, entry: usize) {
        if self.calls.iter().any(|call| call.entry == entry && call.result.is_none()) {
            return self.schedule.after(DRAIN_POLL_INTERVAL_MS, Event::CheckEntryDrained { entry });
        }
        self.entries[entry].stopped = true;
        let down_ms = self.entries[entry].down_ms.unwrap_or_default();
        self.schedule.after(down_ms, Event::RestartEntry { entry });
    }

    /// Exempts from the checks the calls with an attempt at a server that is being killed. Other promises cover them.
    pub(super) fn exempt_calls_at(&mut self, server: usize) {
        let writer_id = writer_id(server, self.servers[server].incarnation);
        for call in &mut self.calls {
            if call.machine.in_flight().is_some_and(|(_, target)| *target.id() == writer_id) {
                call.exempt = true;
            }
        }
    }
}
