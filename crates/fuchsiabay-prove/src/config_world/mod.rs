//! A simulated world of nine entry instances, three agents, operators who propose changes, and a log.

mod checks;

use fuchsiabay_base::Timestamp;
use fuchsiabay_config::{
    CONFIG_LIFETIME_MS, ConfigRecord, ConfigReducer, Document, PublishId, PublishOutcome, PublishTracker,
};
use serde_json::json;

use crate::{
    Outcome, Step,
    config_model::{Change, Model},
    config_process::{Process, RETENTION_MS, Reply},
    config_script::{ConfigAction, ENTRIES, PROCESSES, SHORT_OUTAGE_MS},
    fake_log::{FakeLog, StoredRecord},
    schedule::Schedule,
};

/// The time at which every case starts.
const START: Timestamp = Timestamp::from_millis(1_000_000);
/// How long a case continues after the end of its last fault. By then, every process must have caught up.
const SETTLE_MS: u64 = 40_000;
/// The interval at which the configuration of each process is checked.
const SAMPLE_INTERVAL_MS: u64 = 100;
/// The interval of the polling rounds of an entry instance.
const ENTRY_ROUND_INTERVAL_MS: u64 = 500;
/// The interval of the polling rounds of an agent.
const AGENT_ROUND_INTERVAL_MS: u64 = 1_000;
/// How long a process waits for the reply to a pull or a read.
const REPLY_TIMEOUT_MS: u64 = 1_500;
/// The delay after which the instance list shows the end of an entry instance, and the one for its return.
const LIST_LAG_MS: (u64, u64) = (3_000, 1_000);
/// The interval at which authors read the log.
const AUTHOR_POLL_INTERVAL_MS: u64 = 200;
/// How long the author of a proposal waits for its outcome after the append.
const AUTHOR_WAIT_MS: u64 = 10_000;
/// How long after a process first had a version in force every process must serve one, in milliseconds. This applies to
/// cases whose only faults are short outages of the log.
const WARM_UP_MS: u64 = 8_000;

#[derive(Clone, Debug)]
enum Event {
    Action(usize),
    Sample,
    ToProcess { process: usize, incarnation: u64, message: Message },
    Unfreeze(usize),
    Restart(usize),
    Listed { entry: usize, listed: bool },
    ReadArrives { process: usize, incarnation: u64, read: u64, requested_at: Timestamp },
    SnapshotArrives(ConfigRecord),
    ProposalArrives { proposal: usize },
    AuthorsRead,
}

#[derive(Clone, Debug)]
enum Message {
    Round,
    Page { read: u64, requested_at: Timestamp, first: u64, records: Vec<StoredRecord<ConfigRecord>> },
    ReadFailed { read: u64, requested_at: Timestamp },
    Pull { from: usize, incarnation: u64, pull: u64, requested_at: Timestamp, have_version: u64 },
    Reply { pull: u64, requested_at: Timestamp, reply: Reply },
    PullTimeout { pull: u64 },
}

#[derive(Debug)]
struct Proposal {
    record: ConfigRecord,
    based_on: u64,
    change: Change,
    tracker: PublishTracker,
    /// The author's own state of the configuration, which starts with the log as it was before the proposal.
    reducer: ConfigReducer,
    /// When the author stops waiting.
    deadline: Timestamp,
}

pub(crate) struct ConfigWorld<'a> {
    steps: &'a [Step<ConfigAction>],
    schedule: Schedule<Event>,
    rng: fastrand::Rng,
    log: FakeLog<ConfigRecord>,
    processes: Vec<Process>,
    /// The messages that arrived while a process was frozen, by process.
    inboxes: Vec<Vec<Message>>,
    /// Whether the instance list contains each entry instance.
    listed: [bool; ENTRIES],
    /// The end of the last partition of each zone.
    partitions: [Timestamp; 3],
    acks_lost_until: Timestamp,
    /// The start and the end of each outage of the log.
    outages: Vec<(Timestamp, Timestamp)>,
    proposals: Vec<Proposal>,
    next_id: u64,
    model: Model,
    outcome: Outcome,
}

impl<'a> ConfigWorld<'a> {
    pub(crate) fn run(steps: &'a [Step<ConfigAction>], seed: u64) -> Outcome {
        let mut world = Self {
            steps,
            schedule: Schedule::new(START),
            rng: fastrand::Rng::with_seed(seed),
            log: FakeLog::new(RETENTION_MS),
            processes: (0..PROCESSES).map(Process::new).collect(),
            inboxes: vec![Vec::new(); PROCESSES],
            listed: [true; ENTRIES],
            partitions: [Timestamp::ZERO; 3],
            acks_lost_until: Timestamp::ZERO,
            outages: Vec::new(),
            proposals: Vec::new(),
            next_id: 0,
            model: Model::default(),
            outcome: Outcome::default(),
        };
        world.schedule.add_steps(steps, Event::Action);
        for process in 0..PROCESSES {
            let phase = world.rng.u64(0..500);
            world.send(phase, process, Message::Round);
        }
        world.schedule.after(0, Event::Sample);
        world.schedule.after(0, Event::AuthorsRead);
        let last = steps.iter().map(|step| step.at_ms + step.action.duration_ms()).max().unwrap_or(0);
        while let Some(event) = world.schedule.next(START.plus_millis(last + SETTLE_MS)) {
            world.handle(event);
        }
        world.evaluate()
    }

    fn now(&self) -> Timestamp {
        self.schedule.now()
    }

    fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn delay(&mut self, process: usize) -> u64 {
        let state = &self.processes[process];
        let delay_ms = if self.now() < state.delayed_until { state.max_delay_ms } else { 0 };
        self.rng.u64(1..5) + self.rng.u64(0..=delay_ms)
    }

    fn send(&mut self, after_ms: u64, process: usize, message: Message) {
        let incarnation = self.processes[process].incarnation;
        self.schedule.after(after_ms, Event::ToProcess { process, incarnation, message });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Action(i) => self.apply_action(&self.steps[i].action),
            Event::Sample => {
                self.drop_unread();
                (0..PROCESSES).for_each(|process| self.check_serving(process));
                self.schedule.after(SAMPLE_INTERVAL_MS, Event::Sample);
            }
            Event::ToProcess { process, incarnation, message } => self.deliver(process, incarnation, message),
            Event::Unfreeze(process) => self.unfreeze(process),
            Event::Restart(process) => self.restart(process),
            Event::Listed { entry, listed } => self.listed[entry] = listed,
            Event::ReadArrives { process, incarnation, read, requested_at } => {
                self.read_arrives(process, incarnation, read, requested_at);
            }
            Event::SnapshotArrives(record) => {
                let now = self.now();
                if !self.log.is_down(now) {
                    self.log.append(now, record);
                }
            }
            Event::ProposalArrives { proposal } => self.proposal_arrives(proposal),
            Event::AuthorsRead => {
                self.authors_read();
                self.schedule.after(AUTHOR_POLL_INTERVAL_MS, Event::AuthorsRead);
            }
        }
    }

    fn apply_action(&mut self, action: &ConfigAction) {
        let now = self.now();
        match action {
            ConfigAction::Publish { mark, takes_ms, .. } => self.propose(Change::Document(*mark), *takes_ms),
            ConfigAction::Switch { preset, takes_ms, .. } => {
                self.propose(Change::Preset(preset.clone()), *takes_ms);
            }
            ConfigAction::Kill { process, ms } => self.kill(*process, *ms),
            ConfigAction::Freeze { process, ms } => {
                self.processes[*process].frozen_until = now.plus_millis(*ms);
                self.schedule.after(*ms, Event::Unfreeze(*process));
            }
            ConfigAction::CutLog { process, ms } => {
                self.processes[*process].log_unreachable_until = now.plus_millis(*ms);
            }
            ConfigAction::CutPeers { process, ms } => {
                self.processes[*process].peers_unreachable_until = now.plus_millis(*ms);
            }
            ConfigAction::Partition { zone, ms } => self.partitions[*zone] = now.plus_millis(*ms),
            ConfigAction::Delay { process, ms, by_ms } => {
                let state = &mut self.processes[*process];
                (state.delayed_until, state.max_delay_ms) = (now.plus_millis(*ms), *by_ms);
            }
            ConfigAction::LogOutage { ms } => {
                self.log.fail_until(now.plus_millis(*ms));
                self.outages.push((now, now.plus_millis(*ms)));
            }
            ConfigAction::LoseAnswers { ms } => self.acks_lost_until = now.plus_millis(*ms),
            ConfigAction::LateSnapshot { process, by_ms } => {
                if let Some(snapshot) = self.processes[*process].reducer.snapshot() {
                    self.schedule.after(*by_ms, Event::SnapshotArrives(snapshot));
                }
            }
        }
    }

    fn kill(&mut self, process: usize, ms: u64) {
        if !self.processes[process].alive {
            return;
        }
        self.processes[process].kill();
        self.inboxes[process].clear();
        self.schedule.after(ms, Event::Restart(process));
        if process < ENTRIES && ms > LIST_LAG_MS.0 {
            self.schedule.after(LIST_LAG_MS.0, Event::Listed { entry: process, listed: false });
        }
    }

    fn restart(&mut self, process: usize) {
        self.processes[process].alive = true;
        self.send(0, process, Message::Round);
        if process < ENTRIES {
            self.schedule.after(LIST_LAG_MS.1, Event::Listed { entry: process, listed: true });
        }
    }

    /// Resumes a frozen process. It may serve a request before it handles the messages that arrived meanwhile. They are
    /// handled in random order.
    fn unfreeze(&mut self, process: usize) {
        if self.now() < self.processes[process].frozen_until {
            return;
        }
        self.check_serving(process);
        let mut inbox = std::mem::take(&mut self.inboxes[process]);
        self.rng.shuffle(&mut inbox);
        for message in inbox {
            self.receive(process, message);
            self.check_serving(process);
        }
    }

    fn deliver(&mut self, process: usize, incarnation: u64, message: Message) {
        let state = &self.processes[process];
        if !state.alive || state.incarnation != incarnation {
            return;
        }
        if self.now() < state.frozen_until {
            return self.inboxes[process].push(message);
        }
        self.receive(process, message);
    }

    fn receive(&mut self, process: usize, message: Message) {
        let now = self.now();
        let state = &mut self.processes[process];
        match message {
            Message::Round => self.round(process),
            Message::Page { read, requested_at, first, records } => {
                if state.read.take_if(|id| *id == read).is_some() {
                    state.apply_page(requested_at, first, &records);
                    self.append_snapshot(process);
                }
            }
            Message::ReadFailed { read, requested_at } => {
                if state.read.take_if(|id| *id == read).is_some() {
                    state.freshness.log_failed(requested_at);
                }
            }
            Message::Pull { from, incarnation, pull, requested_at, have_version } => {
                let reply = state.reply(now, have_version);
                let delay = self.delay(process);
                let message = Message::Reply { pull, requested_at, reply };
                if self.connected(process, from) {
                    self.schedule.after(delay, Event::ToProcess { process: from, incarnation, message });
                }
            }
            Message::Reply { pull, requested_at, reply } => {
                if let Some(target) = state.pulls.remove(&pull) {
                    state.apply_reply(target, requested_at, reply);
                }
            }
            Message::PullTimeout { pull } => {
                if let Some(target) = state.pulls.remove(&pull) {
                    state.mark_unreachable(target);
                }
            }
        }
        let version = self.processes[process].reducer.version();
        self.model.mark_known(now, version);
    }

    fn round(&mut self, process: usize) {
        let now = self.now();
        let listed = self.listed;
        let reachable: Vec<usize> = (0..ENTRIES).filter(|entry| self.connected(process, *entry)).collect();
        let state = &mut self.processes[process];
        state.update_members(&listed);
        state.round += 1;
        let entry = state.is_entry();
        self.send(
            if entry { ENTRY_ROUND_INTERVAL_MS } else { AGENT_ROUND_INTERVAL_MS },
            process,
            Message::Round,
        );
        if self.processes[process].reads_log(now) && self.processes[process].read.is_none() {
            self.start_read(process);
        }
        if entry && self.processes[process].round % 2 == 1 {
            return;
        }
        for target in self.processes[process].pull_targets(now, &reachable) {
            self.pull(process, target);
        }
    }

    fn start_read(&mut self, process: usize) {
        let requested_at = self.now();
        let read = self.allocate_id();
        self.processes[process].read = Some(read);
        self.send(REPLY_TIMEOUT_MS, process, Message::ReadFailed { read, requested_at });
        if self.reaches_log(process) {
            let delay = self.delay(process);
            let incarnation = self.processes[process].incarnation;
            self.schedule.after(delay, Event::ReadArrives { process, incarnation, read, requested_at });
        }
    }

    fn read_arrives(&mut self, process: usize, incarnation: u64, read: u64, requested_at: Timestamp) {
        let now = self.now();
        if self.processes[process].incarnation != incarnation {
            return;
        }
        let delay = self.delay(process);
        if self.log.is_down(now) {
            return self.send(delay, process, Message::ReadFailed { read, requested_at });
        }
        let from = self.processes[process].reducer.next_offset().unwrap_or(0);
        let (first, records) = self.log.read(now, from);
        self.send(delay, process, Message::Page { read, requested_at, first, records });
    }

    fn append_snapshot(&mut self, process: usize) {
        let now = self.now();
        let Some(snapshot) = self.processes[process].due_snapshot(now) else {
            return;
        };
        if self.reaches_log(process) {
            let delay = self.delay(process);
            self.schedule.after(delay, Event::SnapshotArrives(snapshot));
        }
    }

    fn pull(&mut self, process: usize, target: usize) {
        let requested_at = self.now();
        let pull = self.allocate_id();
        let state = &mut self.processes[process];
        state.pulls.insert(pull, target);
        let have_version = state.reducer.version();
        let incarnation = state.incarnation;
        self.send(REPLY_TIMEOUT_MS, process, Message::PullTimeout { pull });
        if self.connected(process, target) {
            let delay = self.delay(process);
            let message = Message::Pull { from: process, incarnation, pull, requested_at, have_version };
            self.send(delay, target, message);
        }
    }

    /// Returns whether two different processes can reach each other.
    fn connected(&self, a: usize, b: usize) -> bool {
        let now = self.now();
        let (a, b) = (&self.processes[a], &self.processes[b]);
        let isolated = |process: &Process| now < process.peers_unreachable_until;
        let partitioned = |process: &Process| now < self.partitions[process.zone];
        if a.index == b.index || isolated(a) || isolated(b) {
            return false;
        }
        a.zone == b.zone || !(partitioned(a) || partitioned(b))
    }

    fn reaches_log(&self, process: usize) -> bool {
        let state = &self.processes[process];
        self.now() >= state.log_unreachable_until && self.now() >= self.partitions[state.zone]
    }

    fn propose(&mut self, change: Change, takes_ms: u64) {
        let now = self.now();
        let mut reducer = ConfigReducer::default();
        read_to_end(&mut self.log, now, &mut reducer, None);
        let Some(based_on) = reducer.base_version() else {
            return;
        };
        let proposal = self.proposals.len();
        let publish = PublishId::new(proposal.to_string());
        let record = match &change {
            Change::Document(mark) => ConfigRecord::publish(publish, based_on, &document(*mark)),
            Change::Preset(preset) => {
                ConfigRecord::PresetSwitch { publish, based_on, preset: preset.clone() }
            }
        };
        let Some(tracker) = PublishTracker::new(&record) else {
            return;
        };
        let deadline = now.plus_millis(takes_ms + AUTHOR_WAIT_MS);
        self.proposals.push(Proposal { record, based_on, change, tracker, reducer, deadline });
        self.schedule.after(takes_ms, Event::ProposalArrives { proposal });
    }

    fn proposal_arrives(&mut self, index: usize) {
        let now = self.now();
        let proposal = &mut self.proposals[index];
        if self.log.is_down(now) {
            return proposal.tracker.append_refused();
        }
        let offset = self.log.append(now, proposal.record.clone());
        self.model.apply(now, offset, index, proposal.based_on, &proposal.change);
        // An author that did not receive the acknowledgement appends the record again.
        if now < self.acks_lost_until {
            self.log.append(now, proposal.record.clone());
        }
    }

    fn authors_read(&mut self) {
        let now = self.now();
        for proposal in self.proposals.iter_mut().filter(|proposal| now < proposal.deadline) {
            read_to_end(&mut self.log, now, &mut proposal.reducer, Some(&mut proposal.tracker));
        }
    }
}

/// Reads the log to its end, as the author of a proposal does.
fn read_to_end(
    log: &mut FakeLog<ConfigRecord>,
    now: Timestamp,
    reducer: &mut ConfigReducer,
    mut tracker: Option<&mut PublishTracker>,
) {
    if log.is_down(now) {
        return;
    }
    let (first, records) = log.read(now, reducer.next_offset().unwrap_or(0));
    reducer.skip_to(first);
    for record in records {
        let applied = reducer.apply(record.offset, record.at, &record.data);
        if let Some(tracker) = tracker.as_deref_mut() {
            tracker.observe(&record.data, &applied);
        }
    }
}

fn format_time(at: Timestamp) -> String {
    format!("{} ms", at.millis_since(START))
}

fn document(mark: u32) -> Document {
    let preset = json!({
        "queue_limit": mark, "long_share_percent": 50, "ageing_ms": 1, "long_work_tokens": 1,
        "max_output_tokens": 1, "retry_budget_percent": 10, "spill_over_ms": 1, "quarantine_crashes": 2,
        "quarantine_ms": 1, "default_deadline_ms": 1, "drain_ms": 1
    });
    let document = json!({
        "services": {"writer": {"kind": "model"}}, "workspaces": {},
        "presets": {"ordinary": preset, "peak": preset}, "initial_preset": "ordinary"
    });
    serde_json::from_value(document).expect("the document is complete")
}
