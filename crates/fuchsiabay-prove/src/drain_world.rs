//! Three agents with real schedulers that leave and come back while calls arrive.

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
const SETTLE_MS: u64 = 200_000;
/// No call may fail for its deadline: a case has far less work than this.
const DEADLINE_MS: u64 = 180_000;
/// How long the instance list lags behind an agent that leaves.
const LIST_LAG_MS: u64 = 1_500;
/// How long an agent that leaves goes on refusing at least. A submission that is under way when the process ends would
/// be `may-have-run`, so it must outlast the lag of the list.
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
    Act(usize),
    Submit { agent: usize, life: u64, call: usize, attempt: u64 },
    Finishes { agent: usize, life: u64, attempt: u64 },
    Up { agent: usize, life: u64 },
    Unlisted { agent: usize, life: u64 },
    LingerOver { agent: usize, life: u64 },
    Restart(usize),
    End { call: usize, end: End },
    Refused { call: usize, attempt: u64, reason: RefusalReason },
    Lost { call: usize, attempt: u64 },
    NotSent { call: usize, attempt: u64 },
    Woken(usize),
    Deadline(usize),
}

struct Agent {
    life: u64,
    alive: bool,
    listed: bool,
    leaving: bool,
    stays_until: Timestamp,
    /// How long the agent is gone once its work ended.
    gone_ms: u64,
    scheduler: Scheduler,
    /// The call of each attempt that this life was given and did not end.
    open: BTreeMap<u64, usize>,
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
            .map(|agent| (agent, writer(agent, self.agents[agent].life)))
            .filter(|target| !tried.contains(&target.1))
            .collect();
        crate::placement::pick_random(targets, self.rng, now)
    }

    fn next_attempt(&mut self) -> AttemptId {
        crate::placement::next_attempt(self.next_attempt)
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
    /// The attempts that a server ran.
    ran: BTreeSet<u64>,
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
            ran: BTreeSet::new(),
            outcome: Outcome::default(),
        };
        for (i, step) in steps.iter().enumerate() {
            world.schedule.after(step.at_ms, Event::Act(i));
        }
        while let Some(event) = world.schedule.next(START.plus_millis(SETTLE_MS)) {
            world.handle(event);
        }
        world.evaluate()
    }

    fn handle(&mut self, event: Event) {
        let now = self.schedule.now();
        match event {
            Event::Act(i) => self.act(&self.steps[i].action),
            Event::Submit { agent, life, call, attempt } => self.submit(agent, life, call, attempt),
            Event::Finishes { agent, life, attempt } => {
                if self.agents[agent].life == life && self.agents[agent].scheduler.is_running(JobId(attempt))
                {
                    self.agents[agent].scheduler.finish(now, JobId(attempt), 10);
                    self.end(agent, attempt, Verdict::Ran, None);
                    self.obey(agent);
                }
            }
            Event::Up { agent, life } => {
                if self.agents[agent].life == life {
                    self.agents[agent].scheduler.backend_up(now);
                    self.obey(agent);
                }
            }
            Event::Unlisted { agent, life } => {
                if self.agents[agent].life == life {
                    self.agents[agent].listed = false;
                }
            }
            Event::LingerOver { agent, life } => {
                if self.agents[agent].life == life {
                    self.obey(agent);
                }
            }
            Event::Restart(agent) => {
                self.agents[agent].alive = true;
                self.agents[agent].listed = true;
            }
            Event::End { call, end } => self.drive(call, EntryEvent::End(&end)),
            Event::Refused { call, attempt, reason } => {
                let attempt = AttemptId(attempt);
                self.drive(call, EntryEvent::Refused { attempt, reason, retry_at: now });
            }
            Event::Lost { call, attempt } => {
                self.drive(call, EntryEvent::ConnectionLost { attempt: AttemptId(attempt) });
            }
            Event::NotSent { call, attempt } => {
                self.drive(call, EntryEvent::NotSent { attempt: AttemptId(attempt) });
            }
            Event::Woken(call) => self.drive(call, EntryEvent::Woken),
            Event::Deadline(call) => self.drive(call, EntryEvent::Deadline),
        }
    }

    fn act(&mut self, action: &DrainAction) {
        match *action {
            DrainAction::Call { runs_ms } => {
                let call = self.calls.len();
                let deadline = self.schedule.now().plus_millis(DEADLINE_MS);
                let machine = RequestMachine::new(RequestKind::Plain, false, false, deadline);
                self.calls.push(Call { runs_ms, machine, attempts: BTreeSet::new(), result: None });
                self.schedule.at(deadline, Event::Deadline(call));
                self.drive(call, EntryEvent::Start);
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
        state.gone_ms = ms;
        state.stays_until = self.schedule.now().plus_millis(LINGER_MS);
        state.scheduler.drain(self.schedule.now());
        let life = state.life;
        self.schedule.after(LIST_LAG_MS, Event::Unlisted { agent, life });
        self.schedule.after(LINGER_MS, Event::LingerOver { agent, life });
        self.obey(agent);
    }

    fn kill(&mut self, agent: usize, ms: u64) {
        if !self.agents[agent].alive {
            return;
        }
        let life = self.agents[agent].life + 1;
        let old = std::mem::replace(&mut self.agents[agent], Agent { alive: false, ..Agent::new(life) });
        for (attempt, call) in old.open {
            self.schedule.after(2, Event::Lost { call, attempt });
        }
        self.schedule.after(ms, Event::Restart(agent));
    }

    fn crash(&mut self, agent: usize, ms: u64) {
        if !self.agents[agent].alive {
            return;
        }
        let crash = self.agents[agent].scheduler.backend_crashed();
        for suspect in crash.suspects {
            self.end(agent, suspect.id.0, Verdict::MayHaveRun, Some(AttemptError::BackendLost));
        }
        let life = self.agents[agent].life;
        self.schedule.after(ms, Event::Up { agent, life });
        self.obey(agent);
    }

    fn submit(&mut self, agent: usize, life: u64, call: usize, attempt: u64) {
        let now = self.schedule.now();
        let state = &mut self.agents[agent];
        if !state.alive || state.life != life {
            return self.schedule.after(1, Event::Lost { call, attempt });
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
        state.open.insert(attempt, call);
        if state.scheduler.submit(now, job).is_err() {
            self.agents[agent].open.remove(&attempt);
            let reason = RefusalReason::Draining;
            self.schedule.after(2, Event::Refused { call, attempt, reason });
        }
        self.obey(agent);
    }

    /// Does what the scheduler of an agent asks for. An agent that leaves ends when its work has ended.
    fn obey(&mut self, agent: usize) {
        while let Some(command) = self.agents[agent].scheduler.next_command() {
            match command {
                AgentCommand::Start(JobId(attempt)) => self.start(agent, attempt),
                AgentCommand::Drop(JobId(attempt), _) => {
                    self.end(agent, attempt, Verdict::NotRun, Some(AttemptError::Draining));
                }
                AgentCommand::CancelRunning(_) | AgentCommand::Pause(_) | AgentCommand::Resume(_) => {}
            }
        }
        let state = &self.agents[agent];
        if state.leaving && state.scheduler.is_idle() && self.schedule.now() >= state.stays_until {
            if !state.open.is_empty() {
                self.outcome.add_violation(format!("agent {agent} left with open calls"));
            }
            let (life, ms) = (state.life + 1, state.gone_ms);
            self.agents[agent] = Agent { alive: false, listed: state.listed, ..Agent::new(life) };
            self.schedule.after(ms, Event::Restart(agent));
        }
    }

    fn start(&mut self, agent: usize, attempt: u64) {
        let state = &self.agents[agent];
        let Some(call) = state.open.get(&attempt) else {
            return;
        };
        if state.leaving {
            self.outcome
                .add_violation(format!("agent {agent} started attempt {attempt} while it was leaving"));
        }
        let (life, runs_ms) = (state.life, self.calls[*call].runs_ms);
        self.ran.insert(attempt);
        self.schedule.after(runs_ms, Event::Finishes { agent, life, attempt });
    }

    fn end(&mut self, agent: usize, attempt: u64, verdict: Verdict, error: Option<AttemptError>) {
        let Some(call) = self.agents[agent].open.remove(&attempt) else {
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

    fn drive(&mut self, index: usize, event: EntryEvent<'_>) {
        let now = self.schedule.now();
        let mut cx =
            EntryContext { agents: &self.agents, rng: &mut self.rng, next_attempt: &mut self.next_attempt };
        self.calls[index].machine.handle(event, &mut cx, now);
        while let Some(command) = self.calls[index].machine.next_command() {
            match command {
                Command::Submit { attempt, target: (agent, writer), .. } => {
                    self.calls[index].attempts.insert(attempt.0);
                    let delay = self.rng.u64(1..5);
                    let life = writer.generation.0;
                    if !self.agents[agent].alive {
                        self.schedule.after(delay, Event::NotSent { call: index, attempt: attempt.0 });
                        continue;
                    }
                    self.schedule
                        .after(delay, Event::Submit { agent, life, call: index, attempt: attempt.0 });
                }
                Command::Wait { until } => self.schedule.at(until, Event::Woken(index)),
                Command::Finish => self.calls[index].result = Some(Ok(())),
                Command::Fail(failure) => self.calls[index].result = Some(Err(failure)),
                Command::Cancel { .. } | Command::Write { .. } | Command::ClearSuspicion => {}
            }
        }
    }

    fn evaluate(mut self) -> Outcome {
        let gentle = !self.steps.iter().any(|step| step.action.is_abrupt());
        let mut served = 0;
        for (i, call) in self.calls.iter().enumerate() {
            let runs = call.attempts.intersection(&self.ran).count();
            match &call.result {
                None => self.outcome.add_violation(format!("call {i} was never answered")),
                Some(Ok(())) => served += 1,
                Some(Err(failure)) if gentle => {
                    self.outcome.add_violation(format!(
                        "call {i} failed though agents only left: {:?}",
                        failure.kind
                    ));
                }
                Some(Err(failure)) if failure.verdict == Verdict::NotRun && runs > 0 => {
                    self.outcome.add_violation(format!("call {i} was answered not-run and ran"));
                }
                Some(Err(_)) => {}
            }
            if runs > 1 {
                self.outcome.add_violation(format!("call {i} ran {runs} times"));
            }
        }
        self.outcome.add_fact("calls served", format!("{served} of {}", self.calls.len()));
        self.outcome
    }
}

impl Agent {
    fn new(life: u64) -> Self {
        Self {
            life,
            alive: true,
            listed: true,
            leaving: false,
            stays_until: Timestamp::ZERO,
            gone_ms: 0,
            scheduler: Scheduler::new(LIMITS),
            open: BTreeMap::new(),
        }
    }
}

fn writer(agent: usize, life: u64) -> WriterId {
    WriterId { instance: InstanceId::new(format!("agent-{agent}")), generation: Generation(life) }
}
