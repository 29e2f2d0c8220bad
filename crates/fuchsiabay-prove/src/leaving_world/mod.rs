//! Entry instances with routers and request machines, agents with schedulers, and servers that leave and return.

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
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// How long a case goes on after its last action. One server alone works off all calls in that time.
const SETTLE_MS: u64 = 600_000;
/// How long a caller waits. No wait reaches it, so that no refusal of the admission can hide one of a drain.
const DEADLINE_MS: u64 = 10_000_000;
/// The time after which a leaving server gets no new work. It covers the agent's view of the list (1.5 s), the
/// longest interval of load polls (2.5 s) and two slow messages.
const LEAVE_LIMIT_MS: u64 = 5_000;
/// The interval in which an entry instance looks for connections to open.
const UPKEEP_MS: u64 = 250;
/// Every tenth upkeep polls the load: as rarely as the largest deployment does.
const UPKEEPS_PER_POLL: u64 = 10;
/// The interval in which a draining process looks whether it may stop.
const DRAIN_POLL_MS: u64 = 20;
/// The time that the engine takes for one token.
const TOKEN_MS: u64 = 20;

#[derive(Clone, Debug)]
enum Event {
    Act(usize),
    Upkeep { entry: usize, round: u64 },
    Listed { entry: usize, server: usize, live: bool },
    Closed { entry: usize, server: usize, life: u64 },
    Report { entry: usize, server: usize, report: LoadReport },
    Submitted { server: usize, life: u64, attempt: u64, resume_from: u32 },
    Refused { attempt: u64, server: usize, reason: RefusalReason, retry_after_ms: u64 },
    Tokens { tokens: Tokens },
    End { end: End },
    CancelArrived { server: usize, life: u64, attempt: u64 },
    Cancelled { attempt: u64 },
    Notice { server: usize, life: u64 },
    Produce { server: usize, life: u64, attempt: u64, run: u64 },
    SchedulerDue { server: usize, life: u64 },
    MayStop { server: usize, life: u64 },
    Rejoin { server: usize },
    EntryMayStop { entry: usize },
    EntryReturns { entry: usize },
    Woken { call: usize },
    Deadline { call: usize },
}

struct Call {
    entry: usize,
    tokens: u32,
    plain: bool,
    machine: RequestMachine<Target>,
    /// What the caller received.
    received: String,
    /// An agent died with an attempt of the call, so no promise covers it.
    excused: bool,
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
    slow_until: Timestamp,
    slow_ms: u64,
    /// When the last message of a direction arrives: a connection keeps its order.
    to_entry: BTreeMap<(usize, usize), Timestamp>,
    to_server: BTreeMap<(usize, usize), Timestamp>,
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
            to_entry: BTreeMap::new(),
            to_server: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        for entry in 0..ENTRIES {
            world.schedule.after(entry as u64, Event::Upkeep { entry, round: 0 });
        }
        for (i, step) in steps.iter().enumerate() {
            world.schedule.after(step.at_ms, Event::Act(i));
        }
        let last = steps.iter().map(|step| step.at_ms).max().unwrap_or(0);
        while let Some(event) = world.schedule.next(START.plus_millis(last + SETTLE_MS)) {
            world.handle(event);
        }
        world.evaluate()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Act(i) => self.act(&self.steps[i].action),
            Event::Upkeep { entry, round } => self.keep_up(entry, round),
            Event::Listed { entry, server, live } => {
                self.entries[entry].listed[server] = live;
                self.entries[entry].publish();
            }
            Event::Closed { entry, server, life } => self.close(entry, server, life),
            Event::Report { entry, server, report } => {
                let now = self.schedule.now();
                // It may reach the connection of the next life.
                if let Some(target) = self.entries[entry].target(server) {
                    target.apply_report(report, now);
                }
            }
            Event::Submitted { server, life, attempt, resume_from } => {
                if self.servers[server].serves(life) {
                    self.submit(server, attempt, resume_from);
                }
            }
            Event::Refused { attempt, server, reason, retry_after_ms } => {
                self.outcome.add_fact(format!("refusal by server {server}"), format!("{reason:?}"));
                let retry_at = self.schedule.now().plus_millis(retry_after_ms);
                let event = EntryEvent::Refused { attempt: AttemptId(attempt), reason, retry_at };
                self.drive(self.attempts[&attempt], event);
            }
            Event::Tokens { tokens } => {
                self.drive(self.attempts[&tokens.attempt.0], EntryEvent::Tokens(&tokens));
            }
            Event::End { end } => self.drive(self.attempts[&end.attempt.0], EntryEvent::End(&end)),
            Event::CancelArrived { server, life, attempt } => {
                if self.servers[server].serves(life) {
                    let now = self.schedule.now();
                    self.servers[server].scheduler.cancel(now, JobId(attempt));
                    self.obey(server);
                }
            }
            Event::Cancelled { attempt } => {
                let event =
                    EntryEvent::Cancelled { attempt: AttemptId(attempt), verdict: Verdict::MayHaveRun };
                self.drive(self.attempts[&attempt], event);
            }
            Event::Notice { server, life } => self.notice(server, life),
            Event::Produce { server, life, attempt, run } => self.produce(server, life, attempt, run),
            Event::SchedulerDue { server, life } => {
                if self.servers[server].serves(life) {
                    self.servers[server].scheduler.tick(self.schedule.now());
                    self.obey(server);
                }
            }
            Event::MayStop { server, life } => self.stop_if_drained(server, life),
            Event::Rejoin { server } => self.rejoin(server),
            Event::EntryMayStop { entry } => self.stop_entry_if_drained(entry),
            Event::EntryReturns { entry } => self.entries[entry] = Entry::new(self.schedule.now()),
            Event::Woken { call } => self.drive(call, EntryEvent::Woken),
            Event::Deadline { call } => self.drive(call, EntryEvent::Deadline),
        }
    }

    fn act(&mut self, action: &LeavingAction) {
        let now = self.schedule.now();
        match *action {
            LeavingAction::Call { entry, tokens, plain } => self.call(entry, tokens, plain),
            LeavingAction::Leave { server, notice_ms, list_ms, gone_ms } => {
                let state = &mut self.servers[server];
                if !state.alive || state.leaving_since.is_some() {
                    return;
                }
                state.leaving_since = Some(now);
                (state.list_ms, state.gone_ms) = (list_ms, gone_ms);
                let life = state.life;
                self.schedule.after(notice_ms, Event::Notice { server, life });
                self.list(server, false, list_ms);
            }
            LeavingAction::DrainEntry { entry, gone_ms } => {
                if self.entries.iter().all(|entry| entry.gone_ms.is_none()) {
                    self.entries[entry].gone_ms = Some(gone_ms);
                    self.schedule.after(DRAIN_POLL_MS, Event::EntryMayStop { entry });
                }
            }
            LeavingAction::Kill { server, gone_ms } => {
                if self.servers[server].alive {
                    self.excuse(server);
                    self.servers[server].gone_ms = gone_ms;
                    self.stop(server);
                }
            }
            LeavingAction::RepeatReports { server, ms, by_ms } => {
                self.servers[server].repeats_until = now.plus_millis(ms);
                self.servers[server].repeats_by_ms = by_ms;
            }
            LeavingAction::SlowNetwork { ms, by_ms } => {
                (self.slow_until, self.slow_ms) = (now.plus_millis(ms), by_ms);
            }
        }
    }

    fn call(&mut self, entry: usize, tokens: u32, plain: bool) {
        // The platform's load balancer sends nothing to an instance that left readiness.
        let entry = if self.entries[entry].gone_ms.is_some() { 1 - entry } else { entry };
        let kind = if plain { RequestKind::Plain } else { RequestKind::Generate };
        let deadline = self.schedule.now().plus_millis(DEADLINE_MS);
        let machine = RequestMachine::new(kind, !plain, false, deadline);
        let call = self.calls.len();
        let received = String::new();
        self.calls.push(Call { entry, tokens, plain, machine, received, excused: false, result: None });
        self.schedule.at(deadline, Event::Deadline { call });
        self.drive(call, EntryEvent::Start);
    }

    /// Changes the list; each entry instance sees it later.
    fn list(&mut self, server: usize, live: bool, list_ms: u64) {
        for entry in 0..ENTRIES {
            self.schedule.after(list_ms, Event::Listed { entry, server, live });
        }
    }

    fn delay(&mut self) -> u64 {
        let slow = self.schedule.now() < self.slow_until;
        self.rng.u64(1..4) + if slow { self.rng.u64(0..=self.slow_ms) } else { 0 }
    }

    fn send_to_entry(&mut self, server: usize, entry: usize, event: Event) {
        let at = self.schedule.now().plus_millis(self.delay());
        let last = self.to_entry.entry((server, entry)).or_insert(at);
        *last = at.max(*last);
        self.schedule.at(*last, event);
    }

    fn send_to_server(&mut self, entry: usize, server: usize, event: Event) {
        let at = self.schedule.now().plus_millis(self.delay());
        let last = self.to_server.entry((entry, server)).or_insert(at);
        *last = at.max(*last);
        self.schedule.at(*last, event);
    }

    fn keep_up(&mut self, entry: usize, round: u64) {
        self.schedule.after(UPKEEP_MS, Event::Upkeep { entry, round: round + 1 });
        if self.entries[entry].stopped {
            return;
        }
        let now = self.schedule.now();
        for server in 0..SERVERS {
            let state = &self.servers[server];
            let dials = self.entries[entry].listed[server]
                && self.entries[entry].lives[server].is_none()
                && state.alive;
            if dials {
                self.entries[entry].lives[server] = Some((state.life, now));
                self.entries[entry].publish();
            }
            let linked = self.entries[entry].lives[server].is_some_and(|(life, _)| state.serves(life));
            if linked && (dials || round.is_multiple_of(UPKEEPS_PER_POLL)) {
                self.report(server, entry);
            }
        }
    }

    fn report(&mut self, server: usize, entry: usize) {
        let now = self.schedule.now();
        let report = self.servers[server].report(now);
        self.send_to_entry(server, entry, Event::Report { entry, server, report });
        // Inside one connection nothing is repeated; a report of the last life is the one that can mislead.
        if report.draining && now < self.servers[server].repeats_until {
            let by_ms = self.servers[server].repeats_by_ms;
            self.schedule.after(by_ms, Event::Report { entry, server, report });
        }
    }

    fn close(&mut self, entry: usize, server: usize, life: u64) {
        if self.entries[entry].lives[server].is_some_and(|(linked, _)| linked == life) {
            self.entries[entry].lives[server] = None;
            self.entries[entry].publish();
        }
        let writer = writer(server, life);
        let lost: Vec<_> = (0..self.calls.len())
            .filter(|call| self.calls[*call].entry == entry)
            .filter_map(|call| Some((call, self.calls[call].machine.in_flight()?)))
            .filter(|(_, (_, target))| *target.id() == writer)
            .map(|(call, (attempt, _))| (call, attempt))
            .collect();
        for (call, attempt) in lost {
            self.drive(call, EntryEvent::ConnectionLost { attempt });
        }
    }
    fn drive(&mut self, index: usize, event: EntryEvent<'_>) {
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
            self.execute(index, command);
        }
    }

    fn execute(&mut self, index: usize, command: Command<Target>) {
        let call = &mut self.calls[index];
        let entry = call.entry;
        match command {
            Command::Submit { attempt, target, resume_from, .. } => {
                self.attempts.insert(attempt.0, index);
                target.count_send(call.tokens);
                let (server, life) = (*target.link(), target.id().generation.0);
                // The agent may die before the entry instance learns it.
                call.excused |= !self.servers[server].serves(life) && !self.servers[server].drained;
                let event = Event::Submitted { server, life, attempt: attempt.0, resume_from };
                self.send_to_server(entry, server, event);
            }
            Command::Wait { until } => self.schedule.at(until, Event::Woken { call: index }),
            Command::Cancel { attempt, target, awaited, .. } => {
                let (server, life) = (*target.link(), target.id().generation.0);
                let event = Event::CancelArrived { server, life, attempt: attempt.0 };
                self.send_to_server(entry, server, event);
                if awaited {
                    self.schedule.after(1_000, Event::Cancelled { attempt: attempt.0 });
                }
            }
            Command::Write { from } => call.received.push_str(&call.machine.transcript().text()[from..]),
            Command::Finish => {
                if !call.plain && call.received != answer(0, call.tokens) {
                    self.outcome
                        .add_violation(format!("call {index} was told that a part is the whole answer"));
                }
                call.result = Some(Ok(()));
            }
            Command::Fail(failure) => self.fail(index, failure),
            Command::ClearSuspicion => {}
        }
    }

    fn fail(&mut self, index: usize, failure: Failure) {
        let call = &mut self.calls[index];
        call.result = Some(Err(failure));
        if call.excused {
            return;
        }
        let kind = failure.kind;
        if failure.truncated || failure.verdict != Verdict::NotRun {
            return self.outcome.add_violation(format!("call {index} was cut off: {kind:?}"));
        }
        let entry = &self.entries[call.entry];
        if let Some(server) = entry.settled(&self.servers, self.schedule.now()) {
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

/// Returns tokens `from` to `to` of every answer.
fn answer(from: u32, to: u32) -> String {
    (from..to).map(|token| format!("{token} ")).collect()
}

/// Names the life of a server.
pub(crate) fn writer(server: usize, life: u64) -> WriterId {
    WriterId { instance: InstanceId::new(format!("server-{server}")), generation: Generation(life) }
}

/// The limits of every server.
pub(crate) const LIMITS: Limits = Limits {
    slots: 2,
    // A full queue refuses with reason, which would hide refusals without one.
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

/// The zone of every instance.
pub(crate) fn zone() -> ZoneName {
    ZoneName::new("zone-1")
}
