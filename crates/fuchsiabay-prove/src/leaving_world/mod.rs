//! A simulated world of entry instances with routers and request machines, and of backend servers whose agents have
//! schedulers. The servers leave and restart.

mod servers;

use std::collections::BTreeMap;

use fuchsiabay_admission::{
    Command as AgentCommand, DropReason, Job as AdmissionJob, JobId, Limits, RefusalCause,
};
use fuchsiabay_base::{
    AttemptId, Fingerprint, Generation, InstanceId, ServiceName, Timestamp, Verdict, WorkspaceId, WriterId,
    ZoneName,
};
use fuchsiabay_routing::{Command, Event as EntryEvent, Failure, RequestKind, RequestMachine};
use fuchsiabay_wire::{AttemptError, End, LoadReport, PlainResponse, RefusalReason, Tokens};

use crate::{
    Outcome, Step,
    leaving_entry::{Entry, EntryContext, Target},
    leaving_script::{ENTRIES, LeavingAction, SERVERS},
    leaving_server::{Job, Server},
    schedule::Schedule,
    step::last_at_ms,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// How long a case continues after its last action, in milliseconds. In that time even a single server completes all
/// calls.
const SETTLE_MS: u64 = 600_000;
/// The time from the start of a call to its deadline, in milliseconds. No wait is that long, so that no refusal by
/// admission control can mask a refusal that a drain causes.
const DEADLINE_MS: u64 = 10_000_000;
/// The time after which a leaving server is sent no more work, in milliseconds. It covers the lag of the agent's view
/// of the list (1.5 s), the longest interval between load polls (2.5 s) and two slow messages.
const MAX_SUBMIT_AFTER_LEAVE_MS: u64 = 5_000;
/// The interval at which an entry instance opens missing connections, in milliseconds.
const CONNECT_INTERVAL_MS: u64 = 250;
/// The number of connection rounds for each load poll, which makes polls as rare as in the largest deployment.
const ROUNDS_PER_LOAD_POLL: u64 = 10;
/// The interval at which a draining process checks whether it may stop, in milliseconds.
const DRAIN_POLL_INTERVAL_MS: u64 = 20;
/// The time that the engine takes for one token, in milliseconds.
const TOKEN_MS: u64 = 20;

#[derive(Clone, Debug)]
enum Event {
    Action(usize),
    MaintainConnections { entry: usize, round: u64 },
    ListChanged { entry: usize, server: usize, live: bool },
    ConnectionClosed { entry: usize, server: usize, incarnation: u64 },
    Report { entry: usize, server: usize, report: LoadReport },
    SubmitArrived { server: usize, incarnation: u64, attempt: u64, resume_from: u32 },
    Refused { attempt: u64, server: usize, reason: RefusalReason, retry_after_ms: u64 },
    Tokens { tokens: Tokens },
    End { end: End },
    CancelArrived { server: usize, incarnation: u64, attempt: u64 },
    Cancelled { attempt: u64 },
    BeginDrain { server: usize, incarnation: u64 },
    ProduceTokens { server: usize, incarnation: u64, attempt: u64, pause_epoch: u64 },
    SchedulerTick { server: usize, incarnation: u64 },
    CheckDrained { server: usize, incarnation: u64 },
    RestartServer { server: usize },
    CheckEntryDrained { entry: usize },
    RestartEntry { entry: usize },
    WaitElapsed { call: usize },
    Deadline { call: usize },
}

struct Call {
    entry: usize,
    tokens: u32,
    plain: bool,
    machine: RequestMachine<Target>,
    /// The text that the caller has received.
    received: String,
    /// Whether an agent was killed during an attempt of the call. This world then does not check the call.
    exempt: bool,
    result: Option<Result<(), Failure>>,
}

pub(crate) struct LeavingWorld<'a> {
    steps: &'a [Step<LeavingAction>],
    schedule: Schedule<Event>,
    rng: fastrand::Rng,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    /// The call of each attempt.
    attempts: BTreeMap<u64, usize>,
    next_attempt: u64,
    /// Until when messages are delayed, and by how much at most.
    slow_until: Timestamp,
    slow_ms: u64,
    /// When the last message of each connection arrives, by direction. A connection preserves the order of messages.
    last_arrival_at_entry: BTreeMap<(usize, usize), Timestamp>,
    last_arrival_at_server: BTreeMap<(usize, usize), Timestamp>,
    outcome: Outcome,
}

impl<'a> LeavingWorld<'a> {
    pub(crate) fn run(steps: &'a [Step<LeavingAction>], seed: u64) -> Outcome {
        let mut world = Self {
            steps,
            schedule: Schedule::new(START),
            rng: fastrand::Rng::with_seed(seed),
            entries: (0..ENTRIES).map(|_| Entry::new(START)).collect(),
            servers: (0..SERVERS).map(|_| Server::new()).collect(),
            calls: Vec::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            slow_until: Timestamp::ZERO,
            slow_ms: 0,
            last_arrival_at_entry: BTreeMap::new(),
            last_arrival_at_server: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        for entry in 0..ENTRIES {
            world.schedule.after(entry as u64, Event::MaintainConnections { entry, round: 0 });
        }
        world.schedule.add_steps(steps, Event::Action);
        let last = last_at_ms(steps);
        while let Some(event) = world.schedule.next(START.plus_millis(last + SETTLE_MS)) {
            world.handle(event);
        }
        world.evaluate()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Action(i) => self.apply_action(&self.steps[i].action),
            Event::MaintainConnections { entry, round } => self.maintain_connections(entry, round),
            Event::ListChanged { entry, server, live } => {
                self.entries[entry].listed[server] = live;
                self.entries[entry].update_router();
            }
            Event::ConnectionClosed { entry, server, incarnation } => {
                self.close_connection(entry, server, incarnation)
            }
            Event::Report { entry, server, report } => {
                let now = self.schedule.now();
                // The report may arrive after the instance has connected to the next incarnation.
                if let Some(target) = self.entries[entry].target(server) {
                    target.apply_report(report, now);
                }
            }
            Event::SubmitArrived { server, incarnation, attempt, resume_from } => {
                if self.servers[server].is_running(incarnation) {
                    self.submit(server, attempt, resume_from);
                }
            }
            Event::Refused { attempt, server, reason, retry_after_ms } => {
                self.outcome.add_fact(format!("refusal by server {server}"), format!("{reason:?}"));
                let retry_at = self.schedule.now().plus_millis(retry_after_ms);
                let event = EntryEvent::Refused { attempt: AttemptId(attempt), reason, retry_at };
                self.handle_call_event(self.attempts[&attempt], event);
            }
            Event::Tokens { tokens } => {
                self.handle_call_event(self.attempts[&tokens.attempt.0], EntryEvent::Tokens(&tokens));
            }
            Event::End { end } => {
                self.handle_call_event(self.attempts[&end.attempt.0], EntryEvent::End(&end))
            }
            Event::CancelArrived { server, incarnation, attempt } => {
                if self.servers[server].is_running(incarnation) {
                    let now = self.schedule.now();
                    self.servers[server].scheduler.cancel(now, JobId(attempt));
                    self.execute_scheduler_commands(server);
                }
            }
            Event::Cancelled { attempt } => {
                let event =
                    EntryEvent::Cancelled { attempt: AttemptId(attempt), verdict: Verdict::MayHaveRun };
                self.handle_call_event(self.attempts[&attempt], event);
            }
            Event::BeginDrain { server, incarnation } => self.begin_drain(server, incarnation),
            Event::ProduceTokens { server, incarnation, attempt, pause_epoch } => {
                self.produce_tokens(server, incarnation, attempt, pause_epoch)
            }
            Event::SchedulerTick { server, incarnation } => {
                if self.servers[server].is_running(incarnation) {
                    self.servers[server].scheduler.tick(self.schedule.now());
                    self.execute_scheduler_commands(server);
                }
            }
            Event::CheckDrained { server, incarnation } => self.stop_if_drained(server, incarnation),
            Event::RestartServer { server } => self.restart_server(server),
            Event::CheckEntryDrained { entry } => self.stop_entry_if_drained(entry),
            Event::RestartEntry { entry } => self.entries[entry] = Entry::new(self.schedule.now()),
            Event::WaitElapsed { call } => self.handle_call_event(call, EntryEvent::WaitElapsed),
            Event::Deadline { call } => self.handle_call_event(call, EntryEvent::Deadline),
        }
    }

    fn apply_action(&mut self, action: &LeavingAction) {
        let now = self.schedule.now();
        match *action {
            LeavingAction::Call { entry, tokens, plain } => self.start_call(entry, tokens, plain),
            LeavingAction::Leave { server, notice_ms, list_ms, gone_ms } => {
                let state = &mut self.servers[server];
                if !state.alive || state.leaving_since.is_some() {
                    return;
                }
                state.leaving_since = Some(now);
                (state.list_lag_ms, state.down_ms) = (list_ms, gone_ms);
                let incarnation = state.incarnation;
                self.schedule.after(notice_ms, Event::BeginDrain { server, incarnation });
                self.change_list(server, false, list_ms);
            }
            LeavingAction::DrainEntry { entry, gone_ms } => {
                if self.entries.iter().all(|entry| entry.down_ms.is_none()) {
                    self.entries[entry].down_ms = Some(gone_ms);
                    self.schedule.after(DRAIN_POLL_INTERVAL_MS, Event::CheckEntryDrained { entry });
                }
            }
            LeavingAction::Kill { server, gone_ms } => {
                if self.servers[server].alive {
                    self.exempt_calls_at(server);
                    self.servers[server].down_ms = gone_ms;
                    self.stop_server(server);
                }
            }
            LeavingAction::RepeatReports { server, ms, by_ms } => {
                self.servers[server].repeats_until = now.plus_millis(ms);
                self.servers[server].repeat_delay_ms = by_ms;
            }
            LeavingAction::SlowNetwork { ms, by_ms } => {
                (self.slow_until, self.slow_ms) = (now.plus_millis(ms), by_ms);
            }
        }
    }

    fn start_call(&mut self, entry: usize, tokens: u32, plain: bool) {
        // The platform's load balancer sends no calls to an instance that is not ready.
        let entry = if self.entries[entry].down_ms.is_some() { 1 - entry } else { entry };
        let kind = if plain { RequestKind::Plain } else { RequestKind::Generate };
        let deadline = self.schedule.now().plus_millis(DEADLINE_MS);
        let machine = RequestMachine::new(kind, !plain, false, deadline);
        let call = self.calls.len();
        let received = String::new();
        self.calls.push(Call { entry, tokens, plain, machine, received, exempt: false, result: None });
        self.schedule.at(deadline, Event::Deadline { call });
        self.handle_call_event(call, EntryEvent::Start);
    }

    /// Changes the instance list. The entry instances see the change after `lag_ms`.
    fn change_list(&mut self, server: usize, live: bool, lag_ms: u64) {
        for entry in 0..ENTRIES {
            self.schedule.after(lag_ms, Event::ListChanged { entry, server, live });
        }
    }

    fn delay(&mut self) -> u64 {
        let slow = self.schedule.now() < self.slow_until;
        self.rng.u64(1..4) + if slow { self.rng.u64(0..=self.slow_ms) } else { 0 }
    }

    fn send_to_entry(&mut self, server: usize, entry: usize, event: Event) {
        let at = self.schedule.now().plus_millis(self.delay());
        let last = self.last_arrival_at_entry.entry((server, entry)).or_insert(at);
        *last = at.max(*last);
        self.schedule.at(*last, event);
    }

    fn send_to_server(&mut self, entry: usize, server: usize, event: Event) {
        let at = self.schedule.now().plus_millis(self.delay());
        let last = self.last_arrival_at_server.entry((entry, server)).or_insert(at);
        *last = at.max(*last);
        self.schedule.at(*last, event);
    }

    fn maintain_connections(&mut self, entry: usize, round: u64) {
        self.schedule.after(CONNECT_INTERVAL_MS, Event::MaintainConnections { entry, round: round + 1 });
        if self.entries[entry].stopped {
            return;
        }
        let now = self.schedule.now();
        for server in 0..SERVERS {
            let state = &self.servers[server];
            let connects = self.entries[entry].listed[server]
                && self.entries[entry].connections[server].is_none()
                && state.alive;
            if connects {
                self.entries[entry].connections[server] = Some((state.incarnation, now));
                self.entries[entry].update_router();
            }
            let is_connected = self.entries[entry].connections[server]
                .is_some_and(|(incarnation, _)| state.is_running(incarnation));
            if is_connected && (connects || round.is_multiple_of(ROUNDS_PER_LOAD_POLL)) {
                self.report(server, entry);
            }
        }
    }

    fn report(&mut self, server: usize, entry: usize) {
        let now = self.schedule.now();
        let report = self.servers[server].report(now);
        self.send_to_entry(server, entry, Event::Report { entry, server, report });
        // A connection repeats no message; only a late report of the previous incarnation can mislead the router.
        if report.draining && now < self.servers[server].repeats_until {
            let by_ms = self.servers[server].repeat_delay_ms;
            self.schedule.after(by_ms, Event::Report { entry, server, report });
        }
    }

    fn close_connection(&mut self, entry: usize, server: usize, incarnation: u64) {
        if self.entries[entry].connections[server].is_some_and(|(connected, _)| connected == incarnation) {
            self.entries[entry].connections[server] = None;
            self.entries[entry].update_router();
        }
        let writer_id = writer_id(server, incarnation);
        let lost: Vec<_> = (0..self.calls.len())
            .filter(|call| self.calls[*call].entry == entry)
            .filter_map(|call| Some((call, self.calls[call].machine.in_flight()?)))
            .filter(|(_, (_, target))| *target.id() == writer_id)
            .map(|(call, (attempt, _))| (call, attempt))
            .collect();
        for (call, attempt) in lost {
            self.handle_call_event(call, EntryEvent::ConnectionLost { attempt });
        }
    }

    fn handle_call_event(&mut self, index: usize, event: EntryEvent<'_>) {
        let now = self.schedule.now();
        let entry = self.calls[index].entry;
        let mut cx = EntryContext {
            entry: &self.entries[entry],
            rng: &mut self.rng,
            next_attempt: &mut self.next_attempt,
            prefix: u64::from(self.calls[index].tokens % 3),
        };
        self.calls[index].machine.handle(event, &mut cx, now);
        while let Some(command) = self.calls[index].machine.next_command() {
            self.execute_command(index, command);
        }
    }

    fn execute_command(&mut self, index: usize, command: Command<Target>) {
        let call = &mut self.calls[index];
        let entry = call.entry;
        match command {
            Command::Submit { attempt, target, resume_from, .. } => {
                self.attempts.insert(attempt.0, index);
                target.count_send(call.tokens);
                let (server, incarnation) = (*target.handle(), target.id().generation.0);
                // The agent may have been killed before the entry instance learns of it.
                call.exempt |= !self.servers[server].is_running(incarnation) && !self.servers[server].drained;
                let event = Event::SubmitArrived { server, incarnation, attempt: attempt.0, resume_from };
                self.send_to_server(entry, server, event);
            }
            Command::Wait { until } => self.schedule.at(until, Event::WaitElapsed { call: index }),
            Command::Cancel { attempt, target, awaited, .. } => {
                let (server, incarnation) = (*target.handle(), target.id().generation.0);
                let event = Event::CancelArrived { server, incarnation, attempt: attempt.0 };
                self.send_to_server(entry, server, event);
                if awaited {
                    self.schedule.after(1_000, Event::Cancelled { attempt: attempt.0 });
                }
            }
            Command::Write { from } => call.received.push_str(&call.machine.transcript().text()[from..]),
            Command::Finish => {
                if !call.plain && call.received != response_text(0, call.tokens) {
                    self.outcome
                        .add_violation(format!("call {index} was told that a part is the whole answer"));
                }
                call.result = Some(Ok(()));
            }
            Command::Fail(failure) => self.fail_call(index, failure),
            Command::ClearSuspicion => {}
        }
    }

    fn fail_call(&mut self, index: usize, failure: Failure) {
        let call = &mut self.calls[index];
        call.result = Some(Err(failure));
        if call.exempt {
            return;
        }
        let kind = failure.kind;
        if failure.truncated || failure.verdict != Verdict::NotRun {
            return self.outcome.add_violation(format!("call {index} was cut off: {kind:?}"));
        }
        let entry = &self.entries[call.entry];
        if let Some(server) = entry.available_server(&self.servers, self.schedule.now()) {
            let text = format!("call {index} was refused ({kind:?}) although server {server} takes work");
            self.outcome.add_violation(text);
        }
    }

    fn evaluate(mut self) -> Outcome {
        let count = |f: &dyn Fn(&Call) -> bool| self.calls.iter().filter(|call| f(call)).count();
        let complete = count(&|call| call.result == Some(Ok(())));
        let refused = count(&|call| matches!(call.result, Some(Err(_))));
        let open: Vec<_> = (0..self.calls.len()).filter(|i| self.calls[*i].result.is_none()).collect();
        self.outcome.add_fact("calls", format!("{complete} complete, {refused} refused or failed"));
        for call in open {
            self.outcome.add_violation(format!("call {call} was never answered"));
        }
        self.outcome.violations.dedup();
        self.outcome
    }
}

/// Returns the text of the tokens `from..to`, which is the same for every response.
fn response_text(from: u32, to: u32) -> String {
    (from..to).map(|token| format!("{token} ")).collect()
}

/// Returns the writer id of an incarnation of a server.
pub(crate) fn writer_id(server: usize, incarnation: u64) -> WriterId {
    WriterId { instance: InstanceId::new(format!("server-{server}")), generation: Generation(incarnation) }
}

/// The limits of every server.
pub(crate) const LIMITS: Limits = Limits {
    slots: 2,
    // A full queue causes legitimate refusals, which would mask illegitimate ones.
    queue_limit: 10_000,
    long_share_percent: 50,
    ageing_ms: 5_000,
    long_work_tokens: 100,
    pause_after_ms: Some(400),
};

/// The service of every server.
pub(crate) fn service() -> ServiceName {
    ServiceName::new("assistant")
}

/// The availability zone of every instance.
pub(crate) fn zone() -> ZoneName {
    ZoneName::new("zone-1")
}
