//! A simulated world of one group of ranks in lockstep, an agent for each rank, two coordinators and one log. The
//! agents propose the generations that assign them their ranks. The coordinators propose switches at unfavourable
//! times, abort them and append snapshots.

use std::sync::Arc;

use fuchsiabay_base::{Generation, InstanceId, Timestamp, WriterId};
use fuchsiabay_experts::{
    ExpertMap, Lookahead, MapLedger, MapRecord, MapVersion, Permit, Proposer, Rank, StepGate,
};

use crate::{
    Outcome, Step,
    fake_log::{FakeLog, StoredRecord},
    map_script::{MapAction, RANKS},
    schedule::Schedule,
    step::last_at_ms,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// How long a case continues after its last action, in milliseconds.
const SETTLE_MS: u64 = 15_000;
const RETENTION_MS: u64 = 15_000;
const SNAPSHOT_INTERVAL_MS: u64 = 4_000;
const STEP_MS: u64 = 20;
const POLL_INTERVAL_MS: u64 = 50;
const COORDINATOR_TICK_MS: u64 = 300;
/// The time after which a coordinator aborts a pending switch, in milliseconds.
const ABORT_MS: u64 = 4_000;
/// The maximum number of steps beyond the current one that a permit covers.
const PERMIT_AHEAD: u64 = 20;
/// How many steps the hold step of a switch proposed by an agent lies beyond the current step.
const HOLD_LEAD: u64 = 100;

#[derive(Clone, Debug)]
enum Event {
    Action(usize),
    Step,
    Poll { agent: usize, incarnation: u64 },
    Page { agent: usize, incarnation: u64, records: Vec<StoredRecord<MapRecord>> },
    WeightsLoaded { agent: usize, incarnation: u64, map: MapVersion },
    PermitArrived { rank: usize, permit: Permit },
    Append(MapRecord),
    Unfreeze(usize),
    Restart(usize),
    CoordinatorTick(usize),
}

#[derive(Debug)]
struct Agent {
    incarnation: u64,
    alive: bool,
    ledger: Option<MapLedger>,
    gate: StepGate,
    proposer: Proposer,
    loading: Option<MapVersion>,
    /// The events that arrived while the agent was frozen.
    inbox: Vec<Event>,
    frozen_until: Timestamp,
    log_unreachable_until: Timestamp,
    /// Until when messages of the agent are delayed, and by how much at most.
    delayed_until: Timestamp,
    max_delay_ms: u64,
}

#[derive(Debug, Default)]
struct RankState {
    permit: Option<Permit>,
    stalled_until: Timestamp,
}

#[derive(Debug, Default)]
struct Coordinator {
    ledger: Option<MapLedger>,
    pending_since: Option<Timestamp>,
    snapshot_at: Timestamp,
}

pub(crate) struct MapWorld<'a> {
    steps: &'a [Step<MapAction>],
    schedule: Schedule<Event>,
    rng: fastrand::Rng,
    log: FakeLog<MapRecord>,
    agents: Vec<Agent>,
    ranks: Vec<RankState>,
    coordinators: [Coordinator; 2],
    next_step: u64,
    /// The maps that the ranks have used, each with its first step.
    maps: Vec<(u64, MapVersion)>,
    last_step_at: Timestamp,
    outcome: Outcome,
}

impl<'a> MapWorld<'a> {
    pub(crate) fn run(steps: &'a [Step<MapAction>], seed: u64) -> Outcome {
        let mut world = Self {
            steps,
            schedule: Schedule::new(START),
            rng: fastrand::Rng::with_seed(seed),
            log: FakeLog::new(RETENTION_MS),
            agents: (0..RANKS).map(|agent| Agent::new(agent, 1)).collect(),
            ranks: (0..RANKS).map(|_| RankState::default()).collect(),
            coordinators: Default::default(),
            next_step: 0,
            maps: Vec::new(),
            last_step_at: START,
            outcome: Outcome::default(),
        };
        world.schedule.add_steps(steps, Event::Action);
        for agent in 0..RANKS {
            world.schedule.after(agent as u64, Event::Poll { agent, incarnation: 1 });
        }
        world.schedule.after(0, Event::CoordinatorTick(0));
        world.schedule.after(150, Event::CoordinatorTick(1));
        world.schedule.after(0, Event::Step);
        let last = last_at_ms(steps);
        while let Some(event) = world.schedule.next(START.plus_millis(last + SETTLE_MS)) {
            world.handle(event);
        }
        world.evaluate()
    }

    fn delay(&mut self, agent: usize) -> u64 {
        let state = &self.agents[agent];
        let delay_ms = if self.schedule.now() < state.delayed_until { state.max_delay_ms } else { 0 };
        self.rng.u64(1..5) + self.rng.u64(0..=delay_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Action(i) => self.apply_action(&self.steps[i].action),
            Event::Step => {
                self.step();
                self.schedule.after(STEP_MS, Event::Step);
            }
            Event::Poll { agent, incarnation }
            | Event::Page { agent, incarnation, .. }
            | Event::WeightsLoaded { agent, incarnation, .. } => {
                let state = &mut self.agents[agent];
                if !state.alive || state.incarnation != incarnation {
                    return;
                }
                if self.schedule.now() < state.frozen_until {
                    return state.inbox.push(event);
                }
                self.receive(agent, event);
            }
            Event::PermitArrived { rank, permit } => self.ranks[rank].permit = Some(permit),
            Event::Append(record) => {
                let now = self.schedule.now();
                if !self.log.is_down(now) {
                    self.log.append(now, record);
                }
            }
            Event::Unfreeze(agent) => {
                let mut inbox = std::mem::take(&mut self.agents[agent].inbox);
                self.rng.shuffle(&mut inbox);
                inbox.into_iter().for_each(|event| self.handle(event));
            }
            Event::Restart(agent) => {
                // The new incarnation reads the last step from its server. Permits of the previous incarnation may
                // still be in transit.
                self.agents[agent].gate.assume_permitted_through(self.next_step + PERMIT_AHEAD);
                self.agents[agent].alive = true;
                let incarnation = self.agents[agent].incarnation;
                self.schedule.after(0, Event::Poll { agent, incarnation });
            }
            Event::CoordinatorTick(coordinator) => {
                self.run_coordinator(coordinator);
                self.schedule.after(COORDINATOR_TICK_MS, Event::CoordinatorTick(coordinator));
            }
        }
    }

    fn apply_action(&mut self, action: &MapAction) {
        let until = |ms: u64| self.schedule.now().plus_millis(ms);
        match *action {
            MapAction::Switch { coordinator, ahead, takes_ms } => self.propose(coordinator, ahead, takes_ms),
            MapAction::Kill { agent, ms } => {
                if self.agents[agent].alive {
                    let incarnation = self.agents[agent].incarnation + 1;
                    self.agents[agent] = Agent { alive: false, ..Agent::new(agent, incarnation) };
                    self.schedule.after(ms, Event::Restart(agent));
                }
            }
            MapAction::Freeze { agent, ms } => {
                self.agents[agent].frozen_until = until(ms);
                self.schedule.after(ms, Event::Unfreeze(agent));
            }
            MapAction::CutLog { agent, ms } => self.agents[agent].log_unreachable_until = until(ms),
            MapAction::Delay { agent, ms, by_ms } => {
                self.agents[agent].delayed_until = until(ms);
                self.agents[agent].max_delay_ms = by_ms;
            }
            MapAction::Stall { rank, ms } => self.ranks[rank].stalled_until = until(ms),
            MapAction::LogOutage { ms } => self.log.fail_until(until(ms)),
        }
    }

    /// Runs the next step if every rank has a permit for it, and checks that all ranks use the same map.
    fn step(&mut self) {
        let (now, step) = (self.schedule.now(), self.next_step);
        let map_of = |rank: &RankState| {
            let permit = rank.permit.filter(|permit| permit.through >= step && now >= rank.stalled_until);
            permit.map(|permit| permit.map)
        };
        let Some(maps) = self.ranks.iter().map(map_of).collect::<Option<Vec<MapVersion>>>() else {
            return;
        };
        if maps.iter().any(|map| *map != maps[0]) {
            self.outcome.add_violation(format!("the ranks ran step {step} under the maps {maps:?}"));
        }
        if self.maps.last().is_none_or(|(_, map)| *map != maps[0]) {
            self.maps.push((step, maps[0]));
        }
        self.next_step += 1;
        self.last_step_at = now;
    }

    fn receive(&mut self, agent: usize, event: Event) {
        match event {
            Event::Poll { incarnation, .. } => {
                self.read(agent, incarnation);
                self.schedule.after(POLL_INTERVAL_MS, Event::Poll { agent, incarnation });
            }
            Event::Page { records, .. } => {
                let first = records.first().map_or(0, |record| record.offset);
                let ledger = self.agents[agent].ledger.get_or_insert_with(|| MapLedger::starting_at(first));
                for record in &records {
                    ledger.apply(record.offset, &record.data);
                }
                self.agents[agent].observe(self.schedule.now());
            }
            Event::WeightsLoaded { map, .. } => self.agents[agent].gate.record_weights_loaded(map),
            _ => {}
        }
        self.run_agent(agent);
    }

    fn read(&mut self, agent: usize, incarnation: u64) {
        let now = self.schedule.now();
        if now < self.agents[agent].log_unreachable_until || self.log.is_down(now) {
            return;
        }
        let from = self.agents[agent].ledger.as_ref().map_or(0, MapLedger::next_offset);
        let (first, records) = self.log.read(now, from);
        self.agents[agent].ledger.get_or_insert_with(|| MapLedger::starting_at(first));
        if !records.is_empty() {
            let delay = self.delay(agent);
            self.schedule.after(delay, Event::Page { agent, incarnation, records });
        }
    }

    /// Loads weights, votes, proposes records and grants permits according to the agent's ledger.
    fn run_agent(&mut self, agent: usize) {
        let delay = self.delay(agent);
        let loading_ms = self.rng.u64(20..200);
        let now = self.schedule.now();
        let state = &mut self.agents[agent];
        let Some(ledger) = &state.ledger else {
            return;
        };
        let incarnation = state.incarnation;
        let pending = ledger.pending().map(|pending| pending.map);
        if let Some(map) = pending.filter(|map| state.loading != Some(*map)) {
            state.loading = Some(map);
            self.schedule.after(loading_ms, Event::WeightsLoaded { agent, incarnation, map });
        }
        if let Some(vote) = state.gate.vote(ledger)
            && now >= state.log_unreachable_until
        {
            self.schedule.after(delay, Event::Append(vote));
        }
        let log_down = self.log.is_down(now) || now < state.log_unreachable_until;
        if let Some(record) = (!log_down).then(|| state.proposer.propose(now, ledger)).flatten() {
            self.schedule.after(delay, Event::Append(record));
        }
        let through = self.ranks[agent].permit.map_or(0, |permit| permit.through);
        if through >= self.next_step + PERMIT_AHEAD / 2 {
            return;
        }
        if let Some(permit) = state.gate.permit(ledger, self.next_step, PERMIT_AHEAD) {
            // A vote promises that the rank does not pass the hold step before the switch is decided.
            let promise = ledger.pending().filter(|pending| state.gate.voted() == Some(pending.switch));
            if let Some(pending) = promise.filter(|pending| permit.through >= pending.hold_step) {
                self.outcome.add_violation(format!(
                    "steps through {} were permitted after a vote for a switch at step {}",
                    permit.through, pending.hold_step
                ));
            }
            self.schedule.after(delay, Event::PermitArrived { rank: agent, permit });
        }
    }

    fn propose(&mut self, coordinator: usize, ahead: u64, takes_ms: u64) {
        let Some(ledger) = self.coordinators[coordinator].ledger.as_ref() else {
            return;
        };
        if !ledger.is_complete() || ledger.generation() == 0 {
            return;
        }
        let record = MapRecord::Prepare {
            generation: ledger.generation(),
            map: ledger.next_map(),
            hold_step: self.next_step + ahead,
            content: Arc::new(ExpertMap::default()),
        };
        self.schedule.after(takes_ms, Event::Append(record));
    }

    /// Reads the log, aborts switches that take too long, and appends snapshots.
    fn run_coordinator(&mut self, index: usize) {
        let now = self.schedule.now();
        if self.log.is_down(now) {
            return;
        }
        let delay = self.rng.u64(1..100);
        let coordinator = &mut self.coordinators[index];
        let ledger = coordinator.ledger.get_or_insert_with(|| MapLedger::starting_at(0));
        let (_, records) = self.log.read(now, ledger.next_offset());
        for record in &records {
            ledger.apply(record.offset, &record.data);
        }
        let Some(pending) = ledger.pending() else {
            coordinator.pending_since = None;
            if now >= coordinator.snapshot_at
                && let Some(snapshot) = ledger.snapshot()
            {
                coordinator.snapshot_at = now.plus_millis(SNAPSHOT_INTERVAL_MS);
                self.schedule.after(delay, Event::Append(snapshot));
            }
            return;
        };
        let since = *coordinator.pending_since.get_or_insert(now);
        if now >= since.plus_millis(ABORT_MS) {
            coordinator.pending_since = None;
            self.schedule.after(delay, Event::Append(MapRecord::Abort { switch: pending.switch }));
        }
    }

    fn evaluate(mut self) -> Outcome {
        let now = self.schedule.now();
        if now.millis_since(self.last_step_at) > 1_000 {
            self.outcome.add_violation(format!("the group stands still at step {}", self.next_step));
        }
        let without_faults = !self.steps.iter().any(|step| step.action.is_fault());
        // The switch that reaches the log first must be committed. One that reaches the log while it is pending has no
        // effect.
        let switches = self.steps.iter().filter_map(|step| match step.action {
            MapAction::Switch { ahead, takes_ms, .. } => Some((step.at_ms + takes_ms, ahead, takes_ms)),
            _ => None,
        });
        // Permits cover steps beyond the current one, so agents vote only for hold steps that lie far enough ahead.
        let in_time = |(_, ahead, takes_ms): (u64, u64, u64)| ahead > 2 * PERMIT_AHEAD + takes_ms / STEP_MS;
        if without_faults && switches.min().is_some_and(in_time) && self.maps.len() < 2 {
            self.outcome.add_violation("the first switch had no effect although there was no fault");
        }
        for (step, map) in &self.maps {
            self.outcome.add_fact(format!("map {}", map.0), format!("from step {step}"));
        }
        self.outcome
    }
}

impl Agent {
    fn observe(&mut self, now: Timestamp) {
        if let Some(ledger) = &self.ledger {
            self.proposer.observe(now, ledger);
        }
    }

    fn new(agent: usize, incarnation: u64) -> Self {
        Self {
            incarnation,
            alive: true,
            ledger: None,
            gate: StepGate::new(writer_id(agent, incarnation)),
            proposer: Proposer::new(
                writer_id(agent, incarnation),
                vec![Rank(agent as u16)],
                RANKS,
                Lookahead::new(PERMIT_AHEAD, HOLD_LEAD),
                START,
            ),
            loading: None,
            inbox: Vec::new(),
            frozen_until: Timestamp::ZERO,
            log_unreachable_until: Timestamp::ZERO,
            delayed_until: Timestamp::ZERO,
            max_delay_ms: 0,
        }
    }
}

fn writer_id(agent: usize, incarnation: u64) -> WriterId {
    WriterId { instance: InstanceId::new(format!("agent-{agent}")), generation: Generation(incarnation) }
}
