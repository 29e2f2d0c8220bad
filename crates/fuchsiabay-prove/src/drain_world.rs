//! A simulated world of three agents with real schedulers, which leave and restart while calls arrive.

use std::collections::{BTreeMap, BTreeSet};

use fuchsiabay_admission::{Command as AgentCommand, Job, JobId, Limits, Scheduler};
use fuchsiabay_base::{AttemptId, Fingerprint, Generation, InstanceId, Timestamp, Verdict, WriterId};
use fuchsiabay_routing::{
    Command, Dispatch, Event as EntryEvent, Failure, NoServer, QuarantineStatus, RequestKind, RequestMachine,
};
use fuchsiabay_wire::{AttemptError, End, PlainResponse, RefusalReason};

use crate::{
    Outcome, Step,
    drain_script::{AGENTS, DrainAction},
    schedule::Schedule,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// How long a case lasts, in milliseconds.
const CASE_MS: u64 = 200_000;
/// The time from the start of a call to its deadline, in milliseconds. A case contains far less work, so that no call
/// fails because of its deadline.
const DEADLINE_MS: u64 = 180_000;
/// The delay until an agent that leaves is removed from the instance list, in milliseconds.
const LIST_LAG_MS: u64 = 1_500;
/// How long a leaving agent keeps refusing submissions at least, in milliseconds. It must exceed the lag of the list,
/// because a submission in transit when the process stops would be answered with `may-have-run`.
const LINGER_MS: u64 = 2_000;
const LIMITS: Limits = Limits {
    slots: 2,
    queue_limit: 1_000,
    long_share_percent: 50,
    ageing_ms: 1_000,
    long_work_tokens: 1_000,
    pause_after_ms: None,
};

#[derive(Clone, Debug)]
enum Event {
    Action(usize),
    Submit { agent: usize, incarnation: u64, call: usize, attempt: u64 },
    Finish { agent: usize, incarnation: u64, attempt: u64 },
    BackendUp { agent: usize, incarnation: u64 },
    Unlisted { agent: usize, incarnation: u64 },
    LingerElapsed { agent: usize, incarnation: u64 },
    Restart(usize),
    End { call: usize, end: End },
    Refused { call: usize, attempt: u64, reason: RefusalReason },
    ConnectionLost { call: usize, attempt: u64 },
    NotSent { call: usize, attempt: u64 },
    WaitElapsed(usize),
    Deadline(usize),
}

struct Agent {
    incarnation: u64,
    alive: bool,
    listed: bool,
    leaving: bool,
    lingers_until: Timestamp,
    /// How long the agent is down after its last call has ended, in milliseconds.
    down_ms: u64,
    scheduler: Scheduler,
    /// The calls of the attempts that this incarnation has accepted and not ended, by attempt.
    open_attempts: BTreeMap<u64, usize>,
}

struct Call {
    runs_ms: u64,
    machine: RequestMachine<(usize, WriterId)>,
    attempts: BTreeSet<u64>,
    result: Option<Result<(), Failure>>,
}

struct EntryContext<'a> {
    agents: &'a [Agent],
    rng: &'a mut fastrand::Rng,
    next_attempt: &'a mut u64,
}

impl Dispatch for EntryContext<'_> {
    type Target = (usize, WriterId);

    fn id(target: &Self::Target) -> &WriterId {
        &target.1
    }

    fn pick_server(&mut self, tried: &[WriterId], now: Timestamp) -> Result<Self::Target, NoServer> {
        let targets: Vec<Self::Target> = (0..AGENTS)
            .filter(|agent| self.agents[*agent].listed)
            .map(|agent| (agent, writer_id(agent, self.agents[agent].incarnation)))
            .filter(|target| !tried.contains(&target.1))
            .collect();
        crate::dispatch::pick_random(targets, self.rng, now)
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

pub(crate) struct DrainWorld<'a> {
    steps: &'a [Step<DrainAction>],
    schedule: Schedule<Event>,
    rng: fastrand::Rng,
    agents: Vec<Agent>,
    calls: Vec<Call>,
    next_attempt: u64,
    /// The attempts that a backend server started.
    started_attempts: BTreeSet<u64>,
    outcome: Outcome,
}

impl<'a> DrainWorld<'a> {
    pub(crate) fn run(steps: &'a [Step<DrainAction>], seed: u64) -> Outcome {
        let mut world = Self {
            steps,
            schedule: Schedule::new(START),
            rng: fastrand::Rng::with_seed(seed),
            agents: (0..AGENTS).map(|_| Agent::new(1)).collect(),
            calls: Vec::new(),
            next_attempt: 0,
            started_attempts: BTreeSet::new(),
            outcome: Outcome::default(),
        };
        world.schedule.add_steps(steps, Event::Action);
        while let Some(event) = world.schedule.next(START.plus_millis(CASE_MS)) {
            world.handle(event);
        }
        world.evaluate()
    }

    fn handle(&mut self, event: Event) {
        let now = self.schedule.now();
        match event {
            Event::Action(i) => self.apply_action(&self.steps[i].action),
            Event::Submit { agent, incarnation, call, attempt } => {
                self.submit(agent, incarnation, call, attempt)
            }
            Event::Finish { agent, incarnation, attempt } => {
                if self.agents[agent].incarnation == incarnation
                    && self.agents[agent].scheduler.is_running(JobId(attempt))
                {
                    self.agents[agent].scheduler.finish(now, JobId(attempt), 10);
                    self.end_attempt(agent, attempt, Verdict::Ran, None);
                    self.execute_scheduler_commands(agent);
                }
            }
            Event::BackendUp { agent, incarnation } => {
                if self.agents[agent].incarnation == incarnation {
                    self.agents[agent].scheduler.backend_up(now);
                    self.execute_scheduler_commands(agent);
                }
            }
            Event::Unlisted { agent, incarnation } => {
                if self.agents[agent].incarnation == incarnation {
                    self.agents[agent].listed = false;
                }
            }
            Event::LingerElapsed { agent, incarnation } => {
                if self.agents[agent].incarnation == incarnation {
                    self.execute_scheduler_commands(agent);
                }
            }
            Event::Restart(agent) => {
                self.agents[agent].alive = true;
                self.agents[agent].listed = true;
            }
            Event::End { call, end } => self.handle_call_event(call, EntryEvent::End(&end)),
            Event::Refused { call, attempt, reason } => {
                let attempt = AttemptId(attempt);
                self.handle_call_event(call, EntryEvent::Refused { attempt, reason, retry_at: now });
            }
            Event::ConnectionLost { call, attempt } => {
                self.handle_call_event(call, EntryEvent::ConnectionLost { attempt: AttemptId(attempt) });
            }
            Event::NotSent { call, attempt } => {
                self.handle_call_event(call, EntryEvent::NotSent { attempt: AttemptId(attempt) });
            }
            Event::WaitElapsed(call) => self.handle_call_event(call, EntryEvent::WaitElapsed),
            Event::Deadline(call) => self.handle_call_event(call, EntryEvent::Deadline),
        }
    }

    fn apply_action(&mut self, action: &DrainAction) {
        match *action {
            DrainAction::Call { runs_ms } => {
                let call = self.calls.len();
                let deadline = self.schedule.now().plus_millis(DEADLINE_MS);
                let machine = RequestMachine::new(RequestKind::Plain, false, false, deadline);
                self.calls.push(Call { runs_ms, machine, attempts: BTreeSet::new(), result: None });
                self.schedule.at(deadline, Event::Deadline(call));
                self.handle_call_event(call, EntryEvent::Start);
            }
            DrainAction::Leave { agent, ms } => self.leave(agent, ms),
            DrainAction::Kill { agent, ms } => self.kill(agent, ms),
            DrainAction::Crash { agent, ms } => self.crash(agent, ms),
        }
    }

    fn leave(&mut self, agent: usize, ms: u64) {
        let state = &mut self.agents[agent];
        if !state.alive || state.leaving {
            return;
        }
        state.leaving = true;
        state.down_ms = ms;
        state.lingers_until = self.schedule.now().plus_millis(LINGER_MS);
        state.scheduler.drain(self.schedule.now());
        let incarnation = state.incarnation;
        self.schedule.after(LIST_LAG_MS, Event::Unlisted { agent, incarnation });
        self.schedule.after(LINGER_MS, Event::LingerElapsed { agent, incarnation });
        self.execute_scheduler_commands(agent);
    }

    fn kill(&mut self, agent: usize, ms: u64) {
        if !self.agents[agent].alive {
            return;
        }
        let incarnation = self.agents[agent].incarnation + 1;
        let old =
            std::mem::replace(&mut self.agents[agent], Agent { alive: false, ..Agent::new(incarnation) });
        for (attempt, call) in old.open_attempts {
            self.schedule.after(2, Event::ConnectionLost { call, attempt });
        }
        self.schedule.after(ms, Event::Restart(agent));
    }

    fn crash(&mut self, agent: usize, ms: u64) {
        if !self.agents[agent].alive {
            return;
        }
        let crash = self.agents[agent].scheduler.backend_crashed();
        for suspect in crash.suspects {
            self.end_attempt(agent, suspect.id.0, Verdict::MayHaveRun, Some(AttemptError::BackendLost));
        }
        let incarnation = self.agents[agent].incarnation;
        self.schedule.after(ms, Event::BackendUp { agent, incarnation });
        self.execute_scheduler_commands(agent);
    }

    fn submit(&mut self, agent: usize, incarnation: u64, call: usize, attempt: u64) {
        let now = self.schedule.now();
        let state = &mut self.agents[agent];
        if !state.alive || state.incarnation != incarnation {
            return self.schedule.after(1, Event::ConnectionLost { call, attempt });
        }
        let job = Job {
            id: JobId(attempt),
            workspace: "w".into(),
            weight: 1,
            fingerprint: Fingerprint::of(&[&attempt.to_le_bytes()]),
            priority: 0,
            estimated_tokens: 10,
            deadline: now.plus_millis(DEADLINE_MS),
            solo: false,
            pausable: false,
        };
        state.open_attempts.insert(attempt, call);
        if state.scheduler.submit(now, job).is_err() {
            self.agents[agent].open_attempts.remove(&attempt);
            let reason = RefusalReason::Draining;
            self.schedule.after(2, Event::Refused { call, attempt, reason });
        }
        self.execute_scheduler_commands(agent);
    }

    /// Executes the commands of an agent's scheduler. A leaving agent stops once it is idle and has lingered.
    fn execute_scheduler_commands(&mut self, agent: usize) {
        while let Some(command) = self.agents[agent].scheduler.next_command() {
            match command {
                AgentCommand::Start(JobId(attempt)) => self.start_attempt(agent, attempt),
                AgentCommand::Drop(JobId(attempt), _) => {
                    self.end_attempt(agent, attempt, Verdict::NotRun, Some(AttemptError::Draining));
                }
                AgentCommand::CancelRunning(_) | AgentCommand::Pause(_) | AgentCommand::Resume(_) => {}
            }
        }
        let state = &self.agents[agent];
        if state.leaving && state.scheduler.is_idle() && self.schedule.now() >= state.lingers_until {
            if !state.open_attempts.is_empty() {
                self.outcome.add_violation(format!("agent {agent} left with open calls"));
            }
            let (incarnation, ms) = (state.incarnation + 1, state.down_ms);
            self.agents[agent] = Agent { alive: false, listed: state.listed, ..Agent::new(incarnation) };
            self.schedule.after(ms, Event::Restart(agent));
        }
    }

    fn start_attempt(&mut self, agent: usize, attempt: u64) {
        let state = &self.agents[agent];
        let Some(call) = state.open_attempts.get(&attempt) else {
            return;
        };
        if state.leaving {
            self.outcome
                .add_violation(format!("agent {agent} started attempt {attempt} while it was leaving"));
        }
        let (incarnation, runs_ms) = (state.incarnation, self.calls[*call].runs_ms);
        self.started_attempts.insert(attempt);
        self.schedule.after(runs_ms, Event::Finish { agent, incarnation, attempt });
    }

    fn end_attempt(&mut self, agent: usize, attempt: u64, verdict: Verdict, error: Option<AttemptError>) {
        let Some(call) = self.agents[agent].open_attempts.remove(&attempt) else {
            return;
        };
        let response = (verdict == Verdict::Ran).then(|| PlainResponse {
            status: 200,
            content_type: String::new(),
            body: Vec::new(),
        });
        let end = End { attempt: AttemptId(attempt), verdict, total_tokens: 0, error, response };
        let delay = self.rng.u64(1..5);
        self.schedule.after(delay, Event::End { call, end });
    }

    fn handle_call_event(&mut self, index: usize, event: EntryEvent<'_>) {
        let now = self.schedule.now();
        let mut cx =
            EntryContext { agents: &self.agents, rng: &mut self.rng, next_attempt: &mut self.next_attempt };
        self.calls[index].machine.handle(event, &mut cx, now);
        while let Some(command) = self.calls[index].machine.next_command() {
            match command {
                Command::Submit { attempt, target: (agent, writer_id), .. } => {
                    self.calls[index].attempts.insert(attempt.0);
                    let delay = self.rng.u64(1..5);
                    let incarnation = writer_id.generation.0;
                    if !self.agents[agent].alive {
                        self.schedule.after(delay, Event::NotSent { call: index, attempt: attempt.0 });
                        continue;
                    }
                    self.schedule
                        .after(delay, Event::Submit { agent, incarnation, call: index, attempt: attempt.0 });
                }
                Command::Wait { until } => self.schedule.at(until, Event::WaitElapsed(index)),
                Command::Finish => self.calls[index].result = Some(Ok(())),
                Command::Fail(failure) => self.calls[index].result = Some(Err(failure)),
                Command::Cancel { .. } | Command::Write { .. } | Command::ClearSuspicion => {}
            }
        }
    }

    fn evaluate(mut self) -> Outcome {
        let only_graceful = !self.steps.iter().any(|step| step.action.interrupts_calls());
        let mut served = 0;
        for (i, call) in self.calls.iter().enumerate() {
            let starts = call.attempts.intersection(&self.started_attempts).count();
            match &call.result {
                None => self.outcome.add_violation(format!("call {i} was never answered")),
                Some(Ok(())) => served += 1,
                Some(Err(failure)) if only_graceful => {
                    self.outcome.add_violation(format!(
                        "call {i} failed though agents only left: {:?}",
                        failure.kind
                    ));
                }
                Some(Err(failure)) if failure.verdict == Verdict::NotRun && starts > 0 => {
                    self.outcome.add_violation(format!("call {i} was answered not-run and ran"));
                }
                Some(Err(_)) => {}
            }
            if starts > 1 {
                self.outcome.add_violation(format!("call {i} ran {starts} times"));
            }
        }
        self.outcome.add_fact("calls served", format!("{served} of {}", self.calls.len()));
        self.outcome
    }
}

impl Agent {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            alive: true,
            listed: true,
            leaving: false,
            lingers_until: Timestamp::ZERO,
            down_ms: 0,
            scheduler: Scheduler::new(LIMITS),
            open_attempts: BTreeMap::new(),
        }
    }
}

fn writer_id(agent: usize, incarnation: u64) -> WriterId {
    WriterId { instance: InstanceId::new(format!("agent-{agent}")), generation: Generation(incarnation) }
}
