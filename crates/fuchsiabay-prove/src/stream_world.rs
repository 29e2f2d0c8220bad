//! A simulated world of entry instances with request machines and four servers that stream known responses.

use std::collections::{BTreeMap, BTreeSet};

use fuchsiabay_base::{AttemptId, Generation, InstanceId, Timestamp, Verdict, WriterId};
use fuchsiabay_routing::{
    Command, Dispatch, Event as EntryEvent, Failure, NoServer, QuarantineStatus, RequestKind, RequestMachine,
};
use fuchsiabay_wire::{End, Tokens};

use crate::{
    Outcome, Step,
    schedule::Schedule,
    step::last_at_ms,
    stream_script::{SERVERS, StreamAction},
};

/// The time at which every case starts.
const START: Timestamp = Timestamp::from_millis(1_000_000);
/// How long a case continues after its last action: longer than every deadline.
const SETTLE_MS: u64 = 70_000;
/// How long an entry instance waits for a frame before it treats the attempt as unanswered.
const FRAME_TIMEOUT_MS: u64 = 2_000;
/// The delay before a retry.
const BACKOFF_MS: u64 = 50;

#[derive(Clone, Debug)]
enum Event {
    Action(usize),
    Restart(usize),
    Frame {
        server: usize,
        incarnation: u64,
        call: usize,
        frame: Frame,
    },
    ConnectionLost {
        call: usize,
        attempt: u64,
    },
    /// The entry instance checks whether a frame has arrived since the call had received `frames` frames.
    CheckProgress {
        call: usize,
        attempt: u64,
        frames: u64,
    },
    WaitElapsed {
        call: usize,
    },
    Deadline {
        call: usize,
    },
    Cancelled {
        call: usize,
        attempt: u64,
    },
}

#[derive(Clone, Debug)]
enum Frame {
    Tokens(Tokens),
    End(End),
}

impl Frame {
    fn attempt(&self) -> u64 {
        match self {
            Self::Tokens(tokens) => tokens.attempt.0,
            Self::End(end) => end.attempt.0,
        }
    }
}

#[derive(Clone, Debug)]
struct Target {
    server: usize,
    writer_id: WriterId,
}

#[derive(Debug, Default)]
struct Server {
    /// Grows with each restart.
    incarnation: u64,
    alive: bool,
    drops_frames_until: Timestamp,
    repeats_frames_until: Timestamp,
    delayed_until: Timestamp,
    max_delay_ms: u64,
    misdelivers_frames_until: Timestamp,
    ignores_cancels_until: Timestamp,
    ends_early_until: Timestamp,
    frozen_until: Timestamp,
    repeats_on_resume_until: Timestamp,
    repeats_from_token: u32,
}

struct Call {
    tokens: u32,
    machine: RequestMachine<Target>,
    /// The text that the caller received.
    received: String,
    /// The number of frames that reached the call.
    frames: u64,
    result: Option<Result<(), Failure>>,
}

struct EntryContext<'a> {
    servers: &'a [Server],
    rng: &'a mut fastrand::Rng,
    next_attempt: &'a mut u64,
}

impl Dispatch for EntryContext<'_> {
    type Target = Target;

    fn id(target: &Target) -> &WriterId {
        &target.writer_id
    }

    fn pick_server(&mut self, tried: &[WriterId], now: Timestamp) -> Result<Target, NoServer> {
        let targets: Vec<Target> = (0..SERVERS)
            .filter(|server| self.servers[*server].alive)
            .map(|server| Target { server, writer_id: writer_id(server, self.servers[server].incarnation) })
            .filter(|target| !tried.contains(&target.writer_id))
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
        now.plus_millis(BACKOFF_MS)
    }

    fn report_crash(&mut self, _server: &WriterId, _now: Timestamp) -> QuarantineStatus {
        QuarantineStatus::NotSuspected
    }
}

pub(crate) struct StreamWorld<'a> {
    steps: &'a [Step<StreamAction>],
    schedule: Schedule<Event>,
    rng: fastrand::Rng,
    servers: Vec<Server>,
    calls: Vec<Call>,
    /// The call and the server of each attempt.
    attempts: BTreeMap<u64, (usize, usize)>,
    cancelled: BTreeSet<u64>,
    next_attempt: u64,
    outcome: Outcome,
}

impl<'a> StreamWorld<'a> {
    pub(crate) fn run(steps: &'a [Step<StreamAction>], seed: u64) -> Outcome {
        let server = || Server { incarnation: 1, alive: true, ..Server::default() };
        let mut world = Self {
            steps,
            schedule: Schedule::new(START),
            rng: fastrand::Rng::with_seed(seed),
            servers: (0..SERVERS).map(|_| server()).collect(),
            calls: Vec::new(),
            attempts: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            next_attempt: 0,
            outcome: Outcome::default(),
        };
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
            Event::Restart(server) => self.servers[server].alive = true,
            Event::Frame { server, incarnation, call, frame } => {
                self.transmit(server, incarnation, call, &frame)
            }
            Event::ConnectionLost { call, attempt } => {
                self.handle_call_event(call, EntryEvent::ConnectionLost { attempt: AttemptId(attempt) });
            }
            Event::CheckProgress { call, attempt, frames } => {
                if self.calls[call].frames == frames {
                    self.handle_call_event(call, EntryEvent::Unanswered { attempt: AttemptId(attempt) });
                } else {
                    self.schedule_progress_check(call, attempt);
                }
            }
            Event::WaitElapsed { call } => self.handle_call_event(call, EntryEvent::WaitElapsed),
            Event::Deadline { call } => self.handle_call_event(call, EntryEvent::Deadline),
            Event::Cancelled { call, attempt } => {
                let attempt = AttemptId(attempt);
                self.handle_call_event(call, EntryEvent::Cancelled { attempt, verdict: Verdict::MayHaveRun });
            }
        }
    }

    fn apply_action(&mut self, action: &StreamAction) {
        let until = |ms: u64| self.schedule.now().plus_millis(ms);
        match *action {
            StreamAction::Call { tokens, deadline_ms } => {
                let call = self.calls.len();
                let deadline = until(deadline_ms);
                let machine = RequestMachine::new(RequestKind::Generate, true, false, deadline);
                self.calls.push(Call { tokens, machine, received: String::new(), frames: 0, result: None });
                self.schedule.after(deadline_ms, Event::Deadline { call });
                self.handle_call_event(call, EntryEvent::Start);
            }
            StreamAction::Kill { server, ms } => self.kill(server, ms),
            StreamAction::DropFrames { server, ms } => self.servers[server].drops_frames_until = until(ms),
            StreamAction::RepeatFrames { server, ms } => {
                self.servers[server].repeats_frames_until = until(ms)
            }
            StreamAction::DelayFrames { server, ms, by_ms } => {
                self.servers[server].delayed_until = until(ms);
                self.servers[server].max_delay_ms = by_ms;
            }
            StreamAction::MisdeliverFrames { server, ms } => {
                self.servers[server].misdelivers_frames_until = until(ms);
            }
            StreamAction::IgnoreCancels { server, ms } => {
                self.servers[server].ignores_cancels_until = until(ms)
            }
            StreamAction::LoseConnections { server } => self.lose_connections(server),
            StreamAction::Freeze { server, ms } => self.servers[server].frozen_until = until(ms),
            StreamAction::RepeatOnResume { server, ms, from } => {
                self.servers[server].repeats_on_resume_until = until(ms);
                self.servers[server].repeats_from_token = from;
            }
            StreamAction::EndEarly { server, ms } => self.servers[server].ends_early_until = until(ms),
        }
    }

    fn kill(&mut self, server: usize, ms: u64) {
        if !self.servers[server].alive {
            return;
        }
        self.servers[server].alive = false;
        self.servers[server].incarnation += 1;
        self.schedule.after(ms, Event::Restart(server));
        self.lose_connections(server);
    }

    fn lose_connections(&mut self, server: usize) {
        for (attempt, (call, _)) in self.attempts.iter().filter(|(_, (_, at))| *at == server) {
            let delay = self.rng.u64(1..5);
            self.schedule.after(delay, Event::ConnectionLost { call: *call, attempt: *attempt });
        }
    }

    /// Streams the response to an attempt. All frames are scheduled at once; each may still be lost on the way.
    fn stream(&mut self, call: usize, attempt: u64, server: usize, resume_from: u32) {
        let total = self.calls[call].tokens;
        let incarnation = self.servers[server].incarnation;
        let id = AttemptId(attempt);
        let mut at = self.schedule.now().plus_millis(self.rng.u64(2..30));
        let repeats = self.schedule.now() < self.servers[server].repeats_on_resume_until;
        let mut first =
            if repeats { self.servers[server].repeats_from_token.min(resume_from) } else { resume_from };
        let ends_early = self.schedule.now() < self.servers[server].ends_early_until;
        let end = if ends_early { resume_from + (total - resume_from) / 2 } else { total };
        while first < end {
            let count = self.rng.u32(1..5).min(end - first);
            let text = response_text(call, first, first + count).into_bytes();
            let tokens = Tokens { attempt: id, first, count: count as u16, text };
            self.schedule.at(at, Event::Frame { server, incarnation, call, frame: Frame::Tokens(tokens) });
            first += count;
            at = at.plus_millis(self.rng.u64(5..30));
        }
        let end =
            End { attempt: id, verdict: Verdict::Ran, total_tokens: total, error: None, response: None };
        self.schedule.at(at, Event::Frame { server, incarnation, call, frame: Frame::End(end) });
    }

    /// Transmits a frame to the entry instance and applies the faults of its server.
    fn transmit(&mut self, server: usize, incarnation: u64, call: usize, frame: &Frame) {
        let now = self.schedule.now();
        let state = &mut self.servers[server];
        let stopped = self.cancelled.contains(&frame.attempt()) && now >= state.ignores_cancels_until;
        if state.incarnation != incarnation || stopped || now < state.drops_frames_until {
            return;
        }
        if now < state.frozen_until {
            // The frames stay in order, because events of the same millisecond do.
            let event = Event::Frame { server, incarnation, call, frame: frame.clone() };
            return self.schedule.at(state.frozen_until, event);
        }
        if now < state.delayed_until && self.rng.bool() {
            let by_ms = self.rng.u64(1..=state.max_delay_ms);
            let frame = frame.clone();
            return self.schedule.after(by_ms, Event::Frame { server, incarnation, call, frame });
        }
        let repeated = now < state.repeats_frames_until;
        let misdelivered = now < state.misdelivers_frames_until;
        for _ in 0..=usize::from(repeated) {
            self.deliver_frame(call, frame);
        }
        if misdelivered {
            let other = self.rng.usize(0..self.calls.len());
            self.deliver_frame(other, frame);
        }
    }

    fn deliver_frame(&mut self, call: usize, frame: &Frame) {
        self.calls[call].frames += 1;
        match frame {
            Frame::Tokens(tokens) => self.handle_call_event(call, EntryEvent::Tokens(tokens)),
            Frame::End(end) => self.handle_call_event(call, EntryEvent::End(end)),
        }
    }

    fn schedule_progress_check(&mut self, call: usize, attempt: u64) {
        let frames = self.calls[call].frames;
        if self.calls[call].result.is_none() {
            self.schedule.after(FRAME_TIMEOUT_MS, Event::CheckProgress { call, attempt, frames });
        }
    }

    fn handle_call_event(&mut self, index: usize, event: EntryEvent<'_>) {
        let now = self.schedule.now();
        let mut cx =
            EntryContext { servers: &self.servers, rng: &mut self.rng, next_attempt: &mut self.next_attempt };
        self.calls[index].machine.handle(event, &mut cx, now);
        while let Some(command) = self.calls[index].machine.next_command() {
            self.execute_command(index, command);
        }
    }

    fn execute_command(&mut self, index: usize, command: Command<Target>) {
        let call = &mut self.calls[index];
        match command {
            Command::Submit { attempt, target, resume_from, .. } => {
                self.attempts.insert(attempt.0, (index, target.server));
                self.stream(index, attempt.0, target.server, resume_from);
                self.schedule_progress_check(index, attempt.0);
            }
            Command::Wait { until } => self.schedule.at(until, Event::WaitElapsed { call: index }),
            Command::Cancel { attempt, awaited, .. } => {
                self.cancelled.insert(attempt.0);
                if awaited {
                    self.schedule.after(5, Event::Cancelled { call: index, attempt: attempt.0 });
                }
            }
            Command::Write { from } => {
                call.received.push_str(&call.machine.transcript().text()[from..]);
                if !response_text(index, 0, call.tokens).starts_with(&call.received) {
                    self.outcome
                        .add_violation(format!("call {index} received a text that is not its answer"));
                }
            }
            Command::Finish => call.result = Some(Ok(())),
            Command::Fail(failure) => call.result = Some(Err(failure)),
            Command::ClearSuspicion => {}
        }
    }

    fn evaluate(mut self) -> Outcome {
        let without_faults = !self.steps.iter().any(|step| step.action.is_fault());
        for (i, call) in self.calls.iter().enumerate() {
            let complete = call.received == response_text(i, 0, call.tokens);
            match &call.result {
                None => self.outcome.add_violation(format!("call {i} was never answered")),
                Some(Ok(())) => {
                    self.outcome.add_fact(format!("call {i}"), "complete");
                    if !complete {
                        self.outcome
                            .add_violation(format!("call {i} was told that a part is the whole answer"));
                    }
                }
                Some(Err(failure)) => {
                    let truncated = failure.truncated;
                    self.outcome
                        .add_fact(format!("call {i}"), if truncated { "truncated" } else { "failed" });
                    if truncated == call.received.is_empty() {
                        self.outcome.add_violation(format!("call {i} failed with a wrong truncation mark"));
                    }
                    if !call.received.is_empty() && failure.verdict == Verdict::NotRun {
                        self.outcome.add_violation(format!("call {i} received tokens and was told not-run"));
                    }
                    if without_faults && failure.kind != fuchsiabay_routing::FailureKind::DeadlinePassed {
                        self.outcome.add_violation(format!("call {i} failed although there was no fault"));
                    }
                }
            }
        }
        self.outcome
    }
}

/// Returns tokens `from` to `to` of the response to a call. Every token of every call is different.
fn response_text(call: usize, from: u32, to: u32) -> String {
    (from..to).map(|token| format!("{call}:{token} ")).collect()
}

fn writer_id(server: usize, incarnation: u64) -> WriterId {
    WriterId { instance: InstanceId::new(format!("server-{server}")), generation: Generation(incarnation) }
}
