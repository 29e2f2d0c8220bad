//! A simulated world of three agents with claimers, entry instances with request machines, a log, and a service that
//! records which attempts ran.

mod entries;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fuchsiabay_base::{AttemptId, Fingerprint, IdempotencyKey, Timestamp, Verdict, WriterId};
use fuchsiabay_claims::{
    BatchId, CallReply, ClaimError, ClaimKey, ClaimRecord, Command as ClaimCommand, DispatchResult,
    LoggedRecord, Response,
};
use fuchsiabay_routing::{
    Command as EntryCommand, Dispatch, Event as EntryEvent, NoServer, QuarantineStatus, RequestKind,
    RequestMachine,
};
use fuchsiabay_wire::{AttemptError, End, PlainResponse};

use crate::{
    Outcome, Promise, Step,
    claims_agent::{Agent, AppendResult, LIMITS, Message},
    claims_script::{AGENTS, ClaimAction},
    fake_log::FakeLog,
    schedule::Schedule,
    step::last_at_ms,
};

/// The time at which every case starts.
const START: Timestamp = Timestamp::from_millis(1_000_000_000);
/// How long a case continues after its last action: longer than every deadline and every delay of an append.
const SETTLE_MS: u64 = 60_000;
/// How long an agent waits for the acknowledgement of an append.
const APPEND_TIMEOUT_MS: u64 = 10_000;
/// The interval at which an agent reads the log while it has pending claims, and while it has none.
const POLL_INTERVALS_MS: (u64, u64) = (20, 200);
/// How long an entry instance waits for the reply to a cancellation.
const CANCEL_WAIT_MS: u64 = 1_000;

#[derive(Clone, Debug)]
enum Event {
    Action(usize),
    ToAgent { agent: usize, incarnation: u64, message: Message },
    Unfreeze { agent: usize },
    Restart { agent: usize },
    AppendArrives { agent: usize, incarnation: u64, batch: BatchId, records: Vec<ClaimRecord> },
    ReadArrives { agent: usize, incarnation: u64 },
    ServiceArrives { agent: usize, incarnation: u64, attempt: u64 },
    ToEntry { call: usize, message: EntryMessage },
}

#[derive(Clone, Debug)]
enum EntryMessage {
    End(End),
    NotSent(u64),
    ConnectionLost(u64),
    WaitElapsed,
    Deadline,
    CancelTimeout(u64),
}

#[derive(Clone, Debug)]
struct Target {
    agent: usize,
    writer_id: WriterId,
}

struct Call {
    key: u32,
    claim_key: ClaimKey,
    body: u8,
    first_agent: usize,
    deadline: Timestamp,
    machine: RequestMachine<Target>,
    attempts: Vec<u64>,
    result: Option<(Verdict, Option<PlainResponse>)>,
}

/// What an entry instance knows when it chooses an agent for an attempt.
struct EntryContext<'a> {
    agents: &'a [Agent],
    first_agent: usize,
    next_attempt: &'a mut u64,
}

impl Dispatch for EntryContext<'_> {
    type Target = Target;

    fn id(target: &Target) -> &WriterId {
        &target.writer_id
    }

    fn pick_server(&mut self, tried: &[WriterId], now: Timestamp) -> Result<Target, NoServer> {
        (0..AGENTS)
            .map(|i| (self.first_agent + i) % AGENTS)
            .map(|agent| Target { agent, writer_id: self.agents[agent].writer_id() })
            .find(|target| !tried.contains(&target.writer_id))
            .ok_or(NoServer { retry_at: Some(now) })
    }

    fn next_attempt(&mut self) -> AttemptId {
        crate::dispatch::next_attempt(self.next_attempt)
    }

    fn take_retry(&mut self, _now: Timestamp) -> bool {
        true
    }

    fn backoff(&mut self, now: Timestamp) -> Timestamp {
        now.plus_millis(50)
    }

    fn report_crash(&mut self, _server: &WriterId, _now: Timestamp) -> QuarantineStatus {
        QuarantineStatus::NotSuspected
    }
}

pub(crate) struct ClaimsWorld<'a> {
    steps: &'a [Step<ClaimAction>],
    schedule: Schedule<Event>,
    rng: fastrand::Rng,
    log: FakeLog<ClaimRecord>,
    agents: Vec<Agent>,
    calls: Vec<Call>,
    /// The call and the agent of each attempt.
    attempts: BTreeMap<u64, (usize, usize)>,
    next_attempt: u64,
    slow_until: Timestamp,
    slow_run_ms: u64,
    /// The attempts that ran at the service, by key.
    runs: BTreeMap<u32, Vec<u64>>,
    /// The attempts that an agent answered with the verdict `not-run`.
    answered_not_run: BTreeSet<u64>,
}

impl<'a> ClaimsWorld<'a> {
    pub(crate) fn run(steps: &'a [Step<ClaimAction>], promise: Promise, seed: u64) -> Outcome {
        let mut world = Self {
            steps,
            schedule: Schedule::new(START),
            rng: fastrand::Rng::with_seed(seed),
            log: FakeLog::new(LIMITS.retention_ms()),
            agents: (0..AGENTS).map(Agent::new).collect(),
            calls: Vec::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            slow_until: Timestamp::ZERO,
            slow_run_ms: 0,
            runs: BTreeMap::new(),
            answered_not_run: BTreeSet::new(),
        };
        world.schedule.add_steps(steps, Event::Action);
        for agent in 0..AGENTS {
            world.send_to_agent(0, agent, Message::Poll);
        }
        let last = last_at_ms(steps);
        while let Some(event) = world.schedule.next(START.plus_millis(last + SETTLE_MS)) {
            world.handle(event);
        }
        world.evaluate(promise)
    }

    fn now(&self) -> Timestamp {
        self.schedule.now()
    }

    /// Returns a random delay for a message. One in twenty is long, so that messages overtake each other.
    fn delay(&mut self) -> u64 {
        if self.rng.u8(0..20) == 0 { self.rng.u64(5..80) } else { self.rng.u64(1..5) }
    }

    fn send_to_agent(&mut self, after_ms: u64, agent: usize, message: Message) {
        let incarnation = self.agents[agent].incarnation;
        self.schedule.after(after_ms, Event::ToAgent { agent, incarnation, message });
    }

    fn send_to_entry(&mut self, after_ms: u64, call: usize, message: EntryMessage) {
        self.schedule.after(after_ms, Event::ToEntry { call, message });
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Action(i) => self.apply_action(&self.steps[i].action),
            Event::ToAgent { agent, incarnation, message } => {
                let state = &mut self.agents[agent];
                if !state.alive || state.incarnation != incarnation {
                    return;
                }
                if now < state.frozen_until {
                    return state.inbox.push(message);
                }
                self.receive(agent, message);
            }
            Event::Unfreeze { agent } => self.unfreeze(agent),
            Event::Restart { agent } => {
                self.agents[agent].alive = true;
                self.send_to_agent(0, agent, Message::Poll);
            }
            Event::AppendArrives { agent, incarnation, batch, records } => {
                self.append_arrives(agent, incarnation, batch, records);
            }
            Event::ReadArrives { agent, incarnation } => self.read_arrives(agent, incarnation),
            Event::ServiceArrives { agent, incarnation, attempt } => {
                self.service_arrives(agent, incarnation, attempt)
            }
            Event::ToEntry { call, message } => self.handle_entry_message(call, message),
        }
    }

    fn apply_action(&mut self, action: &ClaimAction) {
        let until = |ms: u64| self.schedule.now().plus_millis(ms);
        match *action {
            ClaimAction::Call { key, issued_ms, body, agent, deadline_ms } => {
                self.start_call(key, issued_ms, body, agent, deadline_ms);
            }
            ClaimAction::Kill { agent, ms } => self.kill(agent, ms),
            ClaimAction::Freeze { agent, ms } => {
                self.agents[agent].frozen_until = until(ms);
                self.schedule.after(ms, Event::Unfreeze { agent });
            }
            ClaimAction::CutLog { agent, ms } => self.agents[agent].log_unreachable_until = until(ms),
            ClaimAction::LogOutage { ms } => self.log.fail_until(until(ms)),
            ClaimAction::LoseAnswers { agent, ms } => self.agents[agent].acks_lost_until = until(ms),
            ClaimAction::DelayAppends { agent, ms, by_ms } => {
                self.agents[agent].appends_delayed_until = until(ms);
                self.agents[agent].append_delay_ms = by_ms;
            }
            ClaimAction::RefuseService { agent, ms } => self.agents[agent].service_refuses_until = until(ms),
            ClaimAction::LoseResponses { agent, ms } => {
                self.agents[agent].service_responses_lost_until = until(ms)
            }
            ClaimAction::SlowService { ms, by_ms } => {
                (self.slow_until, self.slow_run_ms) = (until(ms), by_ms)
            }
            ClaimAction::Truncate { keep } => self.log.truncate(keep),
        }
    }

    fn start_call(&mut self, key: u32, issued_ms: i64, body: u8, agent: usize, deadline_ms: u64) {
        let issued_at = Timestamp::from_millis(START.as_millis().saturating_add_signed(issued_ms));
        let claim_key =
            ClaimKey { key: IdempotencyKey::from_parts(issued_at, u128::from(key)), workspace: "w".into() };
        let call = self.calls.len();
        let deadline = self.now().plus_millis(deadline_ms);
        self.calls.push(Call {
            key,
            claim_key,
            body,
            first_agent: agent,
            deadline,
            machine: RequestMachine::new(RequestKind::Plain, false, false, deadline),
            attempts: Vec::new(),
            result: None,
        });
        self.send_to_entry(deadline_ms, call, EntryMessage::Deadline);
        self.handle_call_event(call, EntryEvent::Start);
    }

    fn kill(&mut self, agent: usize, ms: u64) {
        if !self.agents[agent].alive {
            return;
        }
        self.agents[agent].kill();
        self.schedule.after(ms, Event::Restart { agent });
        let lost: Vec<(u64, usize)> = self
            .attempts
            .iter()
            .filter(|(_, (_, at))| *at == agent)
            .map(|(attempt, (call, _))| (*attempt, *call))
            .collect();
        for (attempt, call) in lost {
            let delay = self.delay();
            self.send_to_entry(delay, call, EntryMessage::ConnectionLost(attempt));
        }
    }

    /// Resumes a frozen agent. The messages that arrived meanwhile are handled in random order, because they came over
    /// several connections.
    fn unfreeze(&mut self, agent: usize) {
        if self.now() < self.agents[agent].frozen_until {
            return;
        }
        let mut inbox = std::mem::take(&mut self.agents[agent].inbox);
        self.rng.shuffle(&mut inbox);
        for message in inbox {
            self.receive(agent, message);
        }
    }

    fn receive(&mut self, agent: usize, message: Message) {
        let now = self.now();
        let poll = matches!(message, Message::Poll);
        if self.agents[agent].receive(now, message) {
            self.start_read(agent);
        }
        for command in self.agents[agent].claimer.take_commands() {
            self.execute_claim_command(agent, command);
        }
        if poll {
            let pending = self.agents[agent].claimer.awaits_records();
            self.send_to_agent(
                if pending { POLL_INTERVALS_MS.0 } else { POLL_INTERVALS_MS.1 },
                agent,
                Message::Poll,
            );
        }
        let next = self.agents[agent].claimer.next_tick();
        if let Some(at) = next.filter(|at| self.agents[agent].tick_at.is_none_or(|tick_at| *at < tick_at)) {
            self.agents[agent].tick_at = Some(at);
            let incarnation = self.agents[agent].incarnation;
            self.schedule.at(at, Event::ToAgent { agent, incarnation, message: Message::Tick });
        }
    }

    fn start_read(&mut self, agent: usize) {
        if self.now() < self.agents[agent].log_unreachable_until {
            return self.send_to_agent(100, agent, Message::ReadFailed);
        }
        let incarnation = self.agents[agent].incarnation;
        let delay = self.delay();
        self.schedule.after(delay, Event::ReadArrives { agent, incarnation });
    }

    fn read_arrives(&mut self, agent: usize, incarnation: u64) {
        if self.agents[agent].incarnation != incarnation {
            return;
        }
        let now = self.now();
        let delay = self.delay();
        if self.log.is_down(now) {
            return self.send_to_agent(delay, agent, Message::ReadFailed);
        }
        let from = self.agents[agent].claimer.ledger().next_offset().unwrap_or(0);
        let (first, records) = self.log.read(now, from);
        let records = records
            .into_iter()
            .map(|stored| LoggedRecord { offset: stored.offset, at: stored.at, record: Some(stored.data) })
            .collect();
        self.send_to_agent(delay, agent, Message::Page { first, records });
    }

    fn append_arrives(&mut self, agent: usize, incarnation: u64, batch: BatchId, records: Vec<ClaimRecord>) {
        let now = self.now();
        let delay = self.delay();
        let result = if self.log.is_down(now) {
            AppendResult::Refused
        } else {
            for record in records {
                self.log.append(now, record);
            }
            let lost = now < self.agents[agent].acks_lost_until;
            if lost { AppendResult::Unknown } else { AppendResult::Acknowledged }
        };
        let message = Message::Appended { batch, result };
        self.schedule.after(delay, Event::ToAgent { agent, incarnation, message });
    }

    fn execute_claim_command(&mut self, agent: usize, command: ClaimCommand) {
        let now = self.now();
        let delay = self.delay();
        let incarnation = self.agents[agent].incarnation;
        match command {
            ClaimCommand::Append { batch, .. } if now < self.agents[agent].log_unreachable_until => {
                self.send_to_agent(delay, agent, Message::Appended { batch, result: AppendResult::Refused });
            }
            ClaimCommand::Append { batch, records } => {
                let state = &self.agents[agent];
                let extra_ms = if now < state.appends_delayed_until { state.append_delay_ms } else { 0 };
                self.schedule
                    .after(delay + extra_ms, Event::AppendArrives { agent, incarnation, batch, records });
                let unknown = Message::Appended { batch, result: AppendResult::Unknown };
                self.send_to_agent(APPEND_TIMEOUT_MS, agent, unknown);
            }
            ClaimCommand::Dispatch { call } => {
                self.schedule.after(delay, Event::ServiceArrives { agent, incarnation, attempt: call.0 });
            }
            ClaimCommand::Reply { call, reply } => {
                if reply.verdict == Verdict::NotRun {
                    self.answered_not_run.insert(call.0);
                }
                if let Some((index, _)) = self.attempts.remove(&call.0) {
                    self.send_to_entry(delay, index, EntryMessage::End(end_frame(call.0, reply)));
                }
            }
        }
    }

    fn service_arrives(&mut self, agent: usize, incarnation: u64, attempt: u64) {
        let now = self.now();
        let delay = self.delay();
        let result = if now < self.agents[agent].service_refuses_until {
            DispatchResult::NotStarted
        } else {
            let Some(call) = self.calls.iter().find(|call| call.attempts.contains(&attempt)) else {
                return;
            };
            self.runs.entry(call.key).or_default().push(attempt);
            let body = format!("{} {}", call.key, call.body).into_bytes();
            DispatchResult::Responded(Arc::new(Response { status: 200, content_type: String::new(), body }))
        };
        let run_ms = if now < self.slow_until { self.slow_run_ms } else { self.rng.u64(5..40) };
        let lost = now.plus_millis(run_ms) < self.agents[agent].service_responses_lost_until;
        let result = if lost { DispatchResult::Unknown } else { result };
        let message = Message::Service { attempt, result };
        self.schedule.after(delay + run_ms, Event::ToAgent { agent, incarnation, message });
    }
}

fn check_ran(
    outcome: &mut Outcome,
    i: usize,
    call: &Call,
    response: Option<&PlainResponse>,
    runs: &BTreeMap<u32, Vec<u64>>,
) {
    let Some(response) = response else {
        return;
    };
    if !runs.contains_key(&call.key) {
        outcome.add_violation(format!("call {i} was answered ran and did not run"));
    }
    if response.body != format!("{} {}", call.key, call.body).into_bytes() {
        outcome.add_violation(format!("call {i} received the response of another call"));
    }
}

fn check_not_run(outcome: &mut Outcome, i: usize, call: &Call, verdict: Verdict, ran: &BTreeSet<u64>) {
    if verdict == Verdict::NotRun && call.attempts.iter().any(|attempt| ran.contains(attempt)) {
        outcome.add_violation(format!("call {i} was answered not-run and ran"));
    }
}

fn end_frame(attempt: u64, reply: CallReply) -> End {
    let response = reply.result.as_ref().ok().map(|response| PlainResponse {
        status: response.status,
        content_type: response.content_type.clone(),
        body: response.body.clone(),
    });
    let error = reply.result.err().map(|error| match error {
        ClaimError::LogUnavailable => AttemptError::LogUnavailable,
        ClaimError::ClaimHeld => AttemptError::ClaimHeld,
        ClaimError::KeyReused => AttemptError::KeyReused,
        ClaimError::KeyOutsideWindow => AttemptError::KeyOutsideWindow,
        ClaimError::Cancelled => AttemptError::Cancelled,
        ClaimError::Draining => AttemptError::Draining,
        ClaimError::DeadlinePassed => AttemptError::DeadlinePassed,
        ClaimError::BackendLost => AttemptError::BackendLost,
    });
    End { attempt: AttemptId(attempt), verdict: reply.verdict, total_tokens: 0, error, response }
}
