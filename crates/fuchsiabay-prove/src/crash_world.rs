//! Entries with request machines and quarantines, and servers that some requests crash.

use std::collections::{BTreeMap, VecDeque};

use fuchsiabay_base::{AttemptId, Fingerprint, Generation, InstanceId, Timestamp, Verdict, WriterId};
use fuchsiabay_routing::{
    Command, Dispatch, Event as EntryEvent, FailureKind, NoServer, Quarantine, QuarantineRecord,
    QuarantineStatus, RequestKind, RequestMachine,
};
use fuchsiabay_wire::{AttemptError, End, PlainResponse};

use crate::{
    Outcome, Step,
    crash_script::{CrashAction, ENTRIES},
    fake_log::FakeLog,
    schedule::Schedule,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const SETTLE_MS: u64 = 70_000;
const DEADLINE_MS: u64 = 60_000;
const SERVERS: usize = 8;
/// Requests that a server runs at the same time.
const SLOTS: usize = 4;
/// A server is gone for this long after a crash.
const DOWN_MS: u64 = 500;
/// How often an entry reads and writes the log.
const POLL_MS: u64 = 300;
/// How long a caller waits before it sends a request again.
const AGAIN_MS: u64 = 200;
/// Crashes after which a request is refused.
const CRASHES: u32 = 2;
/// How long a crash report counts.
const REPORT_MS: u64 = 300_000;
/// Callers that send the same request.
const CALLERS: u32 = 3;
/// The most crashes of one request: while the log is down each entry has to learn by itself, and each caller may have
/// an attempt under way when the last report comes.
const MOST_CRASHES: u32 = ENTRIES as u32 * (CRASHES + CALLERS);

#[derive(Clone, Debug)]
enum Event {
    Act(usize),
    Send { entry: usize, poison: Option<u8>, runs_ms: u64, times: u32 },
    Arrives { server: usize, job: Job },
    Finishes { server: usize, life: u64, attempt: u64 },
    Crashes { server: usize, life: u64, poison: u8 },
    Restart(usize),
    End { call: usize, end: End },
    Woken(usize),
    Deadline(usize),
    Poll(usize),
}

#[derive(Clone, Debug)]
struct Job {
    call: usize,
    attempt: u64,
    solo: bool,
    poison: Option<u8>,
    runs_ms: u64,
}

#[derive(Debug, Default)]
struct Server {
    life: u64,
    down: bool,
    running: Vec<Job>,
    queue: VecDeque<Job>,
}

#[derive(Debug, Default)]
struct Entry {
    quarantine: Quarantine,
    /// Records that wait for the log.
    outbox: Vec<QuarantineRecord>,
    next_offset: u64,
    cut_until: Timestamp,
}

struct Call {
    entry: usize,
    poison: Option<u8>,
    runs_ms: u64,
    /// How often the caller still sends the request.
    times: u32,
    fingerprint: Fingerprint,
    machine: RequestMachine<(usize, WriterId)>,
    result: Option<Result<(), FailureKind>>,
}

struct EntryContext<'a> {
    servers: &'a [Server],
    entry: &'a mut Entry,
    rng: &'a mut fastrand::Rng,
    next_attempt: &'a mut u64,
    fingerprint: Fingerprint,
}

impl Dispatch for EntryContext<'_> {
    type Target = (usize, WriterId);

    fn id(target: &Self::Target) -> &WriterId {
        &target.1
    }

    fn pick_server(&mut self, tried: &[WriterId], now: Timestamp) -> Result<Self::Target, NoServer> {
        let targets: Vec<Self::Target> = (0..SERVERS)
            .filter(|server| !self.servers[*server].down)
            .map(|server| (server, writer(server)))
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

    fn report_crash(&mut self, server: &WriterId, now: Timestamp) -> QuarantineStatus {
        let record = QuarantineRecord::Crash {
            fingerprint: self.fingerprint,
            server: server.clone(),
            expires_at: now.plus_millis(REPORT_MS),
        };
        self.entry.quarantine.apply(&record, now);
        self.entry.outbox.push(record);
        self.entry.quarantine.status(&self.fingerprint, CRASHES, now)
    }
}

pub(crate) struct CrashWorld<'a> {
    steps: &'a [Step<CrashAction>],
    schedule: Schedule<Event>,
    rng: fastrand::Rng,
    log: FakeLog<QuarantineRecord>,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    next_attempt: u64,
    /// Crashes by request.
    crashes: BTreeMap<u8, u32>,
    outcome: Outcome,
}

impl<'a> CrashWorld<'a> {
    pub(crate) fn run(steps: &'a [Step<CrashAction>], seed: u64) -> Outcome {
        let mut world = Self {
            steps,
            schedule: Schedule::new(START),
            rng: fastrand::Rng::with_seed(seed),
            log: FakeLog::new(REPORT_MS),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            calls: Vec::new(),
            next_attempt: 0,
            crashes: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        for (i, step) in steps.iter().enumerate() {
            world.schedule.after(step.at_ms, Event::Act(i));
        }
        (0..ENTRIES).for_each(|entry| world.schedule.after(100 * entry as u64, Event::Poll(entry)));
        let last = steps.iter().map(|step| step.at_ms).max().unwrap_or(0);
        while let Some(event) = world.schedule.next(START.plus_millis(last + SETTLE_MS)) {
            world.handle(event);
        }
        world.evaluate()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Act(i) => self.act(&self.steps[i].action),
            Event::Send { entry, poison, runs_ms, times } => self.send(entry, poison, runs_ms, times),
            Event::Arrives { server, job } => {
                if self.servers[server].down {
                    return self.end(&job, Verdict::NotRun, Some(AttemptError::BackendLost));
                }
                self.servers[server].queue.push_back(job);
                self.start_jobs(server);
            }
            Event::Finishes { server, life, attempt } => self.finish(server, life, attempt),
            Event::Crashes { server, life, poison } => self.crash(server, life, poison),
            Event::Restart(server) => self.servers[server].down = false,
            Event::End { call, end } => self.drive(call, EntryEvent::End(&end)),
            Event::Woken(call) => self.drive(call, EntryEvent::Woken),
            Event::Deadline(call) => self.drive(call, EntryEvent::Deadline),
            Event::Poll(entry) => {
                self.poll(entry);
                self.schedule.after(POLL_MS, Event::Poll(entry));
            }
        }
    }

    fn act(&mut self, action: &CrashAction) {
        let until = |ms: u64| self.schedule.now().plus_millis(ms);
        match *action {
            CrashAction::Call { entry, runs_ms } => self.send(entry, None, runs_ms, 1),
            CrashAction::Poison { entry, poison, times } => self.send(entry, Some(poison), 1_000, times),
            CrashAction::CutLog { entry, ms } => self.entries[entry].cut_until = until(ms),
            CrashAction::LogOutage { ms } => self.log.fail_until(until(ms)),
        }
    }

    fn send(&mut self, entry: usize, poison: Option<u8>, runs_ms: u64, times: u32) {
        let now = self.schedule.now();
        let index = self.calls.len();
        let fingerprint = match poison {
            Some(poison) => Fingerprint::of(&[b"poison", &[poison]]),
            None => Fingerprint::of(&[b"call", &index.to_le_bytes()]),
        };
        let status = self.entries[entry].quarantine.status(&fingerprint, CRASHES, now);
        let suspect = status == QuarantineStatus::Suspect;
        let deadline = now.plus_millis(DEADLINE_MS);
        let machine = RequestMachine::new(RequestKind::Plain, true, suspect, deadline);
        let times = times - 1;
        self.calls.push(Call { entry, poison, runs_ms, times, fingerprint, machine, result: None });
        if matches!(status, QuarantineStatus::Quarantined { .. }) {
            return self.settle(index, Err(FailureKind::Quarantined));
        }
        self.schedule.at(deadline, Event::Deadline(index));
        self.drive(index, EntryEvent::Start);
    }

    /// Starts what a server may run: a request that must run alone waits for all others and they wait for it.
    fn start_jobs(&mut self, server: usize) {
        let state = &mut self.servers[server];
        while let Some(job) = state.queue.front() {
            let alone = state.running.iter().any(|running| running.solo);
            let busy = if job.solo { !state.running.is_empty() } else { state.running.len() >= SLOTS };
            if alone || busy {
                return;
            }
            let Some(job) = state.queue.pop_front() else {
                return;
            };
            let (life, attempt) = (state.life, job.attempt);
            match job.poison {
                Some(poison) => {
                    let delay = self.rng.u64(20..300);
                    self.schedule.after(delay, Event::Crashes { server, life, poison });
                }
                None => self.schedule.after(job.runs_ms, Event::Finishes { server, life, attempt }),
            }
            state.running.push(job);
        }
    }

    fn finish(&mut self, server: usize, life: u64, attempt: u64) {
        let state = &mut self.servers[server];
        if state.life != life {
            return;
        }
        let Some(i) = state.running.iter().position(|job| job.attempt == attempt) else {
            return;
        };
        let job = state.running.swap_remove(i);
        self.end(&job, Verdict::Ran, None);
        self.start_jobs(server);
    }

    fn crash(&mut self, server: usize, life: u64, poison: u8) {
        let state = &mut self.servers[server];
        if state.life != life {
            return;
        }
        state.life += 1;
        state.down = true;
        let (running, queue) = (std::mem::take(&mut state.running), std::mem::take(&mut state.queue));
        *self.crashes.entry(poison).or_default() += 1;
        self.schedule.after(DOWN_MS, Event::Restart(server));
        for job in &running {
            self.end(job, Verdict::MayHaveRun, Some(AttemptError::BackendLost));
        }
        for job in &queue {
            self.end(job, Verdict::NotRun, Some(AttemptError::BackendLost));
        }
    }

    fn end(&mut self, job: &Job, verdict: Verdict, error: Option<AttemptError>) {
        let response = (verdict == Verdict::Ran).then(|| PlainResponse {
            status: 200,
            content_type: String::new(),
            body: Vec::new(),
        });
        let end = End { attempt: AttemptId(job.attempt), verdict, total_tokens: 0, error, response };
        let delay = self.rng.u64(1..5);
        self.schedule.after(delay, Event::End { call: job.call, end });
    }

    /// Writes the reports of an entry to the log and reads those of the others.
    fn poll(&mut self, entry: usize) {
        let now = self.schedule.now();
        let state = &mut self.entries[entry];
        if self.log.is_down(now) || now < state.cut_until {
            return;
        }
        for record in state.outbox.drain(..) {
            self.log.append(now, record);
        }
        let (_, records) = self.log.read(now, state.next_offset);
        for record in records {
            state.quarantine.apply(&record.data, now);
            state.next_offset = record.offset + 1;
        }
    }

    fn drive(&mut self, index: usize, event: EntryEvent<'_>) {
        let now = self.schedule.now();
        let call = &mut self.calls[index];
        let mut cx = EntryContext {
            servers: &self.servers,
            entry: &mut self.entries[call.entry],
            rng: &mut self.rng,
            next_attempt: &mut self.next_attempt,
            fingerprint: call.fingerprint,
        };
        call.machine.handle(event, &mut cx, now);
        while let Some(command) = self.calls[index].machine.next_command() {
            self.execute(index, command);
        }
    }

    fn execute(&mut self, index: usize, command: Command<(usize, WriterId)>) {
        let now = self.schedule.now();
        let call = &self.calls[index];
        match command {
            Command::Submit { attempt, target, solo, .. } => {
                let (poison, runs_ms) = (call.poison, call.runs_ms);
                let job = Job { call: index, attempt: attempt.0, solo, poison, runs_ms };
                let delay = self.rng.u64(1..5);
                self.schedule.after(delay, Event::Arrives { server: target.0, job });
            }
            Command::Wait { until } => self.schedule.at(until, Event::Woken(index)),
            Command::ClearSuspicion => {
                let record = QuarantineRecord::Cleared { fingerprint: call.fingerprint };
                let entry = &mut self.entries[call.entry];
                entry.quarantine.apply(&record, now);
                entry.outbox.push(record);
            }
            Command::Finish => self.settle(index, Ok(())),
            Command::Fail(failure) => self.settle(index, Err(failure.kind)),
            Command::Cancel { .. } | Command::Write { .. } => {}
        }
    }

    fn settle(&mut self, index: usize, result: Result<(), FailureKind>) {
        let call = &mut self.calls[index];
        call.result = Some(result);
        if result.is_err() && call.times > 0 {
            let entry = (call.entry + 1) % ENTRIES;
            let event = Event::Send { entry, poison: call.poison, runs_ms: call.runs_ms, times: call.times };
            self.schedule.after(AGAIN_MS, event);
        }
    }

    fn evaluate(mut self) -> Outcome {
        for (poison, crashes) in &self.crashes {
            self.outcome.add_fact(format!("crashes by poison {poison}"), crashes.to_string());
            if *crashes > MOST_CRASHES {
                self.outcome.add_violation(format!("poison {poison} crashed servers {crashes} times"));
            }
        }
        for (i, call) in self.calls.iter().enumerate() {
            match (&call.poison, &call.result) {
                (_, None) => self.outcome.add_violation(format!("call {i} was never answered")),
                (None, Some(Err(kind))) => {
                    self.outcome.add_violation(format!("harmless call {i} failed: {kind:?}"));
                }
                _ => {}
            }
        }
        let harmless = self.calls.iter().filter(|call| call.poison.is_none() && call.result == Some(Ok(())));
        let served = harmless.count().to_string();
        self.outcome.add_fact("harmless calls served", served);
        self.outcome
    }
}

fn writer(server: usize) -> WriterId {
    WriterId { instance: InstanceId::new(format!("server-{server}")), generation: Generation(1) }
}
