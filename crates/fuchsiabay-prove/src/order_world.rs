//! One engine that ignores or checks tokens, the agent beside it, and the log of orders.

use std::collections::BTreeMap;

use fuchsiabay_base::Timestamp;
use fuchsiabay_fencing::{EngineState, GateCommand, Order, OrderGate, OrderKind, OrderRecord, SendOutcome};

use crate::{
    Outcome, Step,
    fake_log::{FakeLog, StoredRecord},
    order_script::OrderAction,
    schedule::Schedule,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const SETTLE_MS: u64 = 20_000;
const RETENTION_MS: u64 = 1_000_000;
const POLL_MS: u64 = 200;
/// How long the agent waits for the engine.
const ANSWER_MS: u64 = 1_000;
/// The time between the agent's check of the deadline and the engine's receipt.
const WINDOW_MS: u64 = 10;
/// How long the agent takes to notice that the engine restarted.
const NOTICE_MS: u64 = 100;
/// Old records that a repeated page contains.
const REPEATED: u64 = 3;

#[derive(Clone, Debug)]
enum Event {
    Act(usize),
    Poll { life: u64 },
    Page { life: u64, records: Vec<StoredRecord<OrderRecord>> },
    Receive { life: u64, order: Order },
    Sent { life: u64, outcome: SendOutcome },
    ReadArrives { life: u64 },
    Read { life: u64, state: Option<EngineState> },
    EngineChanged { life: u64 },
    Thaw,
    Restart,
}

pub(crate) struct OrderWorld<'a> {
    steps: &'a [Step<OrderAction>],
    schedule: Schedule<Event>,
    rng: fastrand::Rng,
    log: FakeLog<OrderRecord>,
    checks_tokens: bool,
    engine: EngineState,
    lost_until: Timestamp,
    lost_are_applied: bool,
    life: u64,
    alive: bool,
    gate: OrderGate,
    next_offset: u64,
    frozen_until: Timestamp,
    repeats_until: Timestamp,
    inbox: Vec<Event>,
    /// The number and the deadline of the order behind each target.
    orders: BTreeMap<String, (u64, Timestamp)>,
    last_orders: BTreeMap<OrderKind, String>,
    outcome: Outcome,
}

impl<'a> OrderWorld<'a> {
    pub(crate) fn run(steps: &'a [Step<OrderAction>], seed: u64) -> Outcome {
        let mut world = Self {
            steps,
            schedule: Schedule::new(START),
            rng: fastrand::Rng::with_seed(seed),
            log: FakeLog::new(RETENTION_MS),
            checks_tokens: seed.is_multiple_of(2),
            engine: EngineState::default(),
            lost_until: Timestamp::ZERO,
            lost_are_applied: false,
            life: 1,
            alive: true,
            gate: OrderGate::default(),
            next_offset: 0,
            frozen_until: Timestamp::ZERO,
            repeats_until: Timestamp::ZERO,
            inbox: Vec::new(),
            orders: BTreeMap::new(),
            last_orders: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        for (i, step) in steps.iter().enumerate() {
            world.schedule.after(step.at_ms, Event::Act(i));
        }
        world.schedule.after(0, Event::Poll { life: 1 });
        let last = steps.iter().map(|step| step.at_ms).max().unwrap_or(0);
        while let Some(event) = world.schedule.next(START.plus_millis(last + SETTLE_MS)) {
            world.handle(event);
        }
        world.evaluate()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Act(i) => self.act(&self.steps[i].action),
            Event::Receive { life, order } => self.engine_receives(life, order),
            Event::ReadArrives { life } => self.engine_is_read(life),
            Event::Restart => {
                self.alive = true;
                self.schedule.after(0, Event::Poll { life: self.life });
            }
            Event::Thaw => {
                for event in std::mem::take(&mut self.inbox) {
                    self.handle(event);
                }
            }
            Event::Poll { life }
            | Event::Page { life, .. }
            | Event::Sent { life, .. }
            | Event::Read { life, .. }
            | Event::EngineChanged { life } => {
                if life != self.life || !self.alive {
                    return;
                }
                if self.schedule.now() < self.frozen_until {
                    return self.inbox.push(event);
                }
                self.agent_receives(event);
            }
        }
    }

    fn act(&mut self, action: &OrderAction) {
        let now = self.schedule.now();
        match *action {
            OrderAction::Order { kind, valid_ms } => self.append_order(kind, now.plus_millis(valid_ms)),
            OrderAction::KillAgent { ms } => {
                if self.alive {
                    self.alive = false;
                    self.life += 1;
                    self.gate = OrderGate::default();
                    self.next_offset = 0;
                    self.inbox.clear();
                    self.schedule.after(ms, Event::Restart);
                }
            }
            OrderAction::Freeze { ms } => {
                self.frozen_until = now.plus_millis(ms);
                self.schedule.after(ms, Event::Thaw);
            }
            OrderAction::RepeatPages { ms } => self.repeats_until = now.plus_millis(ms),
            OrderAction::RestartEngine => {
                self.engine = EngineState::default();
                self.schedule.after(NOTICE_MS, Event::EngineChanged { life: self.life });
            }
            OrderAction::LoseAnswers { ms, applied } => {
                (self.lost_until, self.lost_are_applied) = (now.plus_millis(ms), applied);
            }
            OrderAction::LogOutage { ms } => self.log.fail_until(now.plus_millis(ms)),
        }
    }

    fn append_order(&mut self, kind: OrderKind, deadline_ms: Timestamp) {
        let now = self.schedule.now();
        if self.log.is_down(now) {
            return;
        }
        let number = self.orders.len() as u64;
        let target = format!("value {number}");
        self.orders.insert(target.clone(), (number, deadline_ms));
        self.last_orders.insert(kind, target.clone());
        self.log.append(now, OrderRecord { kind, target, deadline_ms });
    }

    fn agent_receives(&mut self, event: Event) {
        let now = self.schedule.now();
        match event {
            Event::Poll { life } => {
                if !self.log.is_down(now) {
                    let repeats = now < self.repeats_until;
                    let repeated = if repeats { REPEATED } else { 0 };
                    let (_, records) = self.log.read(now, self.next_offset.saturating_sub(repeated));
                    // Late pages overtake each other.
                    let delay = self.rng.u64(1..if repeats { 3 * POLL_MS } else { POLL_MS / 4 });
                    self.schedule.after(delay, Event::Page { life, records });
                }
                self.schedule.after(POLL_MS, Event::Poll { life });
            }
            Event::Page { records, .. } => {
                for record in records {
                    self.next_offset = self.next_offset.max(record.offset + 1);
                    let _ = self.gate.accept(record.data.into_order(record.offset));
                }
            }
            Event::Sent { outcome, .. } => self.gate.send_finished(now, outcome),
            Event::Read { state: Some(state), .. } => self.gate.state_read(state),
            Event::Read { state: None, .. } => self.gate.read_failed(now),
            Event::EngineChanged { .. } => self.gate.invalidate_engine_state(),
            _ => {}
        }
        let life = self.life;
        let delay = self.rng.u64(1..WINDOW_MS);
        match self.gate.next_command(now) {
            Some(GateCommand::ReadBack) => self.schedule.after(delay, Event::ReadArrives { life }),
            Some(GateCommand::Send(order)) => self.schedule.after(delay, Event::Receive { life, order }),
            None => {}
        }
    }

    /// The engine receives an order. What it does not apply, nobody sends again on its own.
    fn engine_receives(&mut self, life: u64, order: Order) {
        let now = self.schedule.now();
        let lost = now < self.lost_until;
        let (number, deadline) = self.orders[&order.target];
        if now > deadline.plus_millis(WINDOW_MS) {
            self.outcome.add_violation(format!("order {number} was sent after its deadline"));
        }
        let outcome = if lost && !self.lost_are_applied {
            SendOutcome::Unknown
        } else if self.checks_tokens && self.engine.highest_fence.is_some_and(|fence| order.fence < fence) {
            SendOutcome::Stale
        } else {
            self.apply(order, number);
            if lost { SendOutcome::Unknown } else { SendOutcome::Applied }
        };
        let after_ms = if outcome == SendOutcome::Unknown { ANSWER_MS } else { 5 };
        self.schedule.after(after_ms, Event::Sent { life, outcome });
    }

    fn apply(&mut self, order: Order, number: u64) {
        let before = self.engine.values.get(&order.kind).map(|target| self.orders[target].0);
        if before.is_some_and(|before| number < before) {
            let text = format!("order {number} replaced the newer order {}", before.unwrap_or_default());
            self.outcome.add_violation(text);
        }
        if self.checks_tokens {
            self.engine.highest_fence = self.engine.highest_fence.max(Some(order.fence));
        }
        self.engine.values.insert(order.kind, order.target);
    }

    fn engine_is_read(&mut self, life: u64) {
        let lost = self.schedule.now() < self.lost_until;
        let state = (!lost).then(|| self.engine.clone());
        let after_ms = if lost { ANSWER_MS } else { 5 };
        self.schedule.after(after_ms, Event::Read { life, state });
    }

    fn evaluate(mut self) -> Outcome {
        let now = self.schedule.now();
        for (kind, target) in &self.last_orders {
            let reached = self.engine.values.get(kind);
            self.outcome.add_fact(format!("{kind:?}"), reached.map_or("none", String::as_str));
            if self.orders[target].1 > now && reached != Some(target) {
                self.outcome.add_violation(format!("{kind:?} is {reached:?} and not {target:?}"));
            }
        }
        self.outcome
    }
}
