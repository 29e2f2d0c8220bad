//! A simulated world of entry instances with request machines and quarantines, a log, and servers that crash when they
//! run a poison request.

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
    step::last_at_ms,
};

/// The time at which every case starts.
const START: Timestamp = Timestamp::from_millis(1_000_000);
/// How long a case continues after its last action: longer than every deadline.
const SETTLE_MS: u64 = 70_000;
/// How long a caller waits for the response to a request.
const DEADLINE_MS: u64 = 60_000;
/// The number of servers.
const SERVERS: usize = 8;
/// How many requests a server runs at the same time.
const SLOTS: usize = 4;
/// How long a server is down after a crash.
const DOWN_MS: u64 = 500;
/// The interval at which an entry instance writes to the log and reads it.
const POLL_INTERVAL_MS: u64 = 300;
/// How long a caller waits before it sends a failed request again.
const RESEND_DELAY_MS: u64 = 200;
/// The number of crashes after which a request is quarantined.
const QUARANTINE_THRESHOLD: u32 = 2;
/// How long a crash report is valid.
const REPORT_LIFETIME_MS: u64 = 300_000;
/// The maximum number of callers that send the same poison request.
const MAX_CALLERS: u32 = 3;
/// The highest number of crashes that one request may cause: while the log is down, each entry instance must see the
/// crashes itself, and each caller may have an attempt in flight when the last report arrives.
const MAX_CRASHES: u32 = ENTRIES as u32 * (QUARANTINE_THRESHOLD + MAX_CALLERS);

#[derive(Clone, Debug)]
enum Event {
    Action(usize),
    Send { entry: usize, poison: Option<u8>, runs_ms: u64, sends: u32 },
    Arrives { server: usize, job: Job },
    Finishes { server: usize, incarnation: u64, attempt: u64 },
    Crashes { server: usize, incarnation: u64, poison: u8 },
    Restart(usize),
    End { call: usize, end: End },
    WaitElapsed(usize),
    Deadline(usize),
    Poll(usize),
}

#[derive(Clone, Debug)]
struct Job {
    call: usize,
    attempt: u64,
    /// Whether the server must run the job alone.
    solo: bool,
    /// The number of the poison request, if the job is one.
    poison: Option<u8>,
    runs_ms: u64,
}

#[derive(Debug, Default)]
struct Server {
    /// Grows with each crash. The server keeps its id.
    incarnation: u64,
    down: bool,
    running: Vec<Job>,
    queue: VecDeque<Job>,
}

#[derive(Debug, Default)]
struct Entry {
    quarantine: Quarantine,
    /// Records that are not yet in the log.
    outbox: Vec<QuarantineRecord>,
    next_offset: u64,
    log_unreachable_until: Timestamp,
}

struct Call {
    entry: usize,
    poison: Option<u8>,
    runs_ms: u64,
    /// How often the caller sends the request again at most.
    remaining_sends: u32,
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
            .map(|server| (server, writer_id(server)))
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

    fn report_crash(&mut self, server: &WriterId, now: Timestamp) -> QuarantineStatus {
        let record = QuarantineRecord::Crash {
            fingerprint: self.fingerprint,
            server: server.clone(),
            expires_at: now.plus_millis(REPORT_LIFETIME_MS),
        };
        self.entry.quarantine.apply(&record, now);
        self.entry.outbox.push(record);
        self.entry.quarantine.status(&self.fingerprint, QUARANTINE_THRESHOLD, now)
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
    /// The number of crashes by poison request.
    crashes: BTreeMap<u8, u32>,
    outcome: Outcome,
}

impl<'a> CrashWorld<'a> {
    pub(crate) fn run(steps: &'a [Step<CrashAction>], seed: u64) -> Outcome {
        let mut world = Self {
            steps,
            schedule: Schedule::new(START),
            rng: fastrand::Rng::with_seed(seed),
            log: FakeLog::new(REPORT_LIFETIME_MS),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            calls: Vec::new(),
            next_attempt: 0,
            crashes: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        world.schedule.add_steps(steps, Event::Action);
        (0..ENTRIES).for_each(|entry| world.schedule.after(100 * entry as u64, Event::Poll(entry)));
        let last = last_at_ms(steps);
        while let Some(event) = world.schedule.next(START.plus_millis(last + SETTLE_MS)) {
            world.handle(event);
        }
        world.evaluate()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Action(i) => self.apply_action(&self.steps[i].action),
            Event::Send { entry, poison, runs_ms, sends } => self.send(entry, poison, runs_ms, sends),
            Event::Arrives { server, job } => {
                if self.servers[server].down {
                    return self.end(&job, Verdict::NotRun, Some(AttemptError::BackendLost));
                }
                self.servers[server].queue.push_back(job);
                self.start_jobs(server);
            }
            Event::Finishes { server, incarnation, attempt } => self.finish(server, incarnation, attempt),
            Event::Crashes { server, incarnation, poison } => self.crash(server, incarnation, poison),
            Event::Restart(server) => self.servers[server].down = false,
            Event::End { call, end } => self.handle_call_event(call, EntryEvent::End(&end)),
            Event::WaitElapsed(call) => self.handle_call_event(call, EntryEvent::WaitElapsed),
            Event::Deadline(call) => self.handle_call_event(call, EntryEvent::Deadline),
            Event::Poll(entry) => {
                self.poll(entry);
                self.schedule.after(POLL_INTERVAL_MS, Event::Poll(entry));
            }
        }
    }

    fn apply_action(&mut self, action: &CrashAction) {
        let until = |ms: u64| self.schedule.now().plus_millis(ms);
        match *action {
            CrashAction::Call { entry, runs_ms } => self.send(entry, None, runs_ms, 1),
            CrashAction::Poison { entry, poison, times } => self.send(entry, Some(poison), 1_000, times),
            CrashAction::CutLog { entry, ms } => self.entries[entry].log_unreachable_until = until(ms),
            CrashAction::LogOutage { ms } => self.log.fail_until(until(ms)),
        }
    }

    /// Sends a request. If it fails, the caller sends it again, up to `sends` times in total.
    fn send(&mut self, entry: usize, poison: Option<u8>, runs_ms: u64, sends: u32) {
        let now = self.schedule.now();
        let index = self.calls.len();
        let fingerprint = match poison {
            Some(poison) => Fingerprint::of(&[b"poison", &[poison]]),
            None => Fingerprint::of(&[b"call", &index.to_le_bytes()]),
        };
        let status = self.entries[entry].quarantine.status(&fingerprint, QUARANTINE_THRESHOLD, now);
        let suspect = status == QuarantineStatus::Suspect;
        let deadline = now.plus_millis(DEADLINE_MS);
        let machine = RequestMachine::new(RequestKind::Plain, true, suspect, deadline);
        let remaining_sends = sends - 1;
        self.calls.push(Call { entry, poison, runs_ms, remaining_sends, fingerprint, machine, result: None });
        if matches!(status, QuarantineStatus::Quarantined { .. }) {
            return self.finish_call(index, Err(FailureKind::Quarantined));
        }
        self.schedule.at(deadline, Event::Deadline(index));
        self.handle_call_event(index, EntryEvent::Start);
    }

    /// Starts the queued jobs that may run now. A job that must run alone waits until no other job runs, and later jobs
    /// wait until it has ended.
    fn start_jobs(&mut self, server: usize) {
        let state = &mut self.servers[server];
        while let Some(job) = state.queue.front() {
            let runs_solo = state.running.iter().any(|running| running.solo);
            let busy = if job.solo { !state.running.is_empty() } else { state.running.len() >= SLOTS };
            if runs_solo || busy {
                return;
            }
            let Some(job) = state.queue.pop_front() else {
                return;
            };
            let (incarnation, attempt) = (state.incarnation, job.attempt);
            match job.poison {
                Some(poison) => {
                    let delay = self.rng.u64(20..300);
                    self.schedule.after(delay, Event::Crashes { server, incarnation, poison });
                }
                None => self.schedule.after(job.runs_ms, Event::Finishes { server, incarnation, attempt }),
            }
            state.running.push(job);
        }
    }

    fn finish(&mut self, server: usize, incarnation: u64, attempt: u64) {
        let state = &mut self.servers[server];
        if state.incarnation != incarnation {
            return;
        }
        let Some(i) = state.running.iter().position(|job| job.attempt == attempt) else {
            return;
        };
        let job = state.running.swap_remove(i);
        self.end(&job, Verdict::Ran, None);
        self.start_jobs(server);
    }

    fn crash(&mut self, server: usize, incarnation: u64, poison: u8) {
        let state = &mut self.servers[server];
        if state.incarnation != incarnation {
            return;
        }
        state.incarnation += 1;
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

    /// Writes the records of an entry instance to the log and applies all new records.
    fn poll(&mut self, entry: usize) {
        let now = self.schedule.now();
        let state = &mut self.entries[entry];
        if self.log.is_down(now) || now < state.log_unreachable_until {
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

    fn handle_call_event(&mut self, index: usize, event: EntryEvent<'_>) {
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
            self.execute_command(index, command);
        }
    }

    fn execute_command(&mut self, index: usize, command: Command<(usize, WriterId)>) {
        let now = self.schedule.now();
        let call = &self.calls[index];
        match command {
            Command::Submit { attempt, target, solo, .. } => {
                let (poison, runs_ms) = (call.poison, call.runs_ms);
                let job = Job { call: index, attempt: attempt.0, solo, poison, runs_ms };
                let delay = self.rng.u64(1..5);
                self.schedule.after(delay, Event::Arrives { server: target.0, job });
            }
            Command::Wait { until } => self.schedule.at(until, Event::WaitElapsed(index)),
            Command::ClearSuspicion => {
                let record = QuarantineRecord::Cleared { fingerprint: call.fingerprint };
                let entry = &mut self.entries[call.entry];
                entry.quarantine.apply(&record, now);
                entry.outbox.push(record);
            }
            Command::Finish => self.finish_call(index, Ok(())),
            Command::Fail(failure) => self.finish_call(index, Err(failure.kind)),
            Command::Cancel { .. } | Command::Write { .. } => {}
        }
    }

    fn finish_call(&mut self, index: usize, result: Result<(), FailureKind>) {
        let call = &mut self.calls[index];
        call.result = Some(result);
        if result.is_err() && call.remaining_sends > 0 {
            let entry = (call.entry + 1) % ENTRIES;
            let event = Event::Send {
                entry,
                poison: call.poison,
                runs_ms: call.runs_ms,
                sends: call.remaining_sends,
            };
            self.schedule.after(RESEND_DELAY_MS, event);
        }
    }

    fn evaluate(mut self) -> Outcome {
        for (poison, crashes) in &self.crashes {
            self.outcome.add_fact(format!("crashes by poison {poison}"), crashes.to_string());
            if *crashes > MAX_CRASHES {
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

/// Returns the id of a server, which is the same for all its incarnations.
fn writer_id(server: usize) -> WriterId {
    WriterId { instance: InstanceId::new(format!("server-{server}")), generation: Generation(1) }
}
