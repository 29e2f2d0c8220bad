//! A simulated world of one engine that checks or ignores fencing tokens, its agent, and the log of orders.

use std::collections::BTreeMap;

use fuchsiabay_base::Timestamp;
use fuchsiabay_fencing::{EngineState, GateCommand, Order, OrderGate, OrderKind, OrderRecord, SendOutcome};

use crate::{
    Outcome, Step,
    fake_log::{FakeLog, StoredRecord},
    order_script::OrderAction,
    schedule::Schedule,
    step::last_at_ms,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const SETTLE_MS: u64 = 20_000;
const RETENTION_MS: u64 = 1_000_000;
const POLL_INTERVAL_MS: u64 = 200;
/// How long the agent waits for a reply of the engine, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 1_000;
/// The maximum time from the agent's check of the deadline to the arrival at the engine, in milliseconds.
const MAX_TRANSIT_MS: u64 = 10;
/// How long the agent takes to detect that the engine restarted, in milliseconds.
const RESTART_DETECTION_MS: u64 = 100;
/// The number of old records that a repeated page contains.
const REPEATED_RECORDS: u64 = 3;

#[derive(Clone, Debug)]
enum Event {
    Action(usize),
    Poll { incarnation: u64 },
    Page { incarnation: u64, records: Vec<StoredRecord<OrderRecord>> },
    OrderArrives { incarnation: u64, order: Order },
    SendFinished { incarnation: u64, outcome: SendOutcome },
    ReadBackArrives { incarnation: u64 },
    StateRead { incarnation: u64, state: Option<EngineState> },
    EngineRestarted { incarnation: u64 },
    Unfreeze,
    Restart,
}

pub(crate) struct OrderWorld<'a> {
    steps: &'a [Step<OrderAction>],
    schedule: Schedule<Event>,
    rng: fastrand::Rng,
    log: FakeLog<OrderRecord>,
    /// Whether the engine rejects orders with an old fencing token.
    checks_tokens: bool,
    engine: EngineState,
    /// Until when orders or replies are lost.
    lost_until: Timestamp,
    /// Whether orders take effect although their replies are lost.
    lost_orders_are_applied: bool,
    incarnation: u64,
    alive: bool,
    gate: OrderGate,
    next_offset: u64,
    frozen_until: Timestamp,
    repeats_until: Timestamp,
    /// The events that arrived while the agent was frozen.
    inbox: Vec<Event>,
    /// The number and the deadline of the order for each target.
    orders: BTreeMap<String, (u64, Timestamp)>,
    /// The target of the last order of each kind.
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
            lost_orders_are_applied: false,
            incarnation: 1,
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
        world.schedule.add_steps(steps, Event::Action);
        world.schedule.after(0, Event::Poll { incarnation: 1 });
        let last = last_at_ms(steps);
        while let Some(event) = world.schedule.next(START.plus_millis(last + SETTLE_MS)) {
            world.handle(event);
        }
        world.evaluate()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Action(i) => self.apply_action(&self.steps[i].action),
            Event::OrderArrives { incarnation, order } => self.deliver_order(incarnation, order),
            Event::ReadBackArrives { incarnation } => self.read_engine_state(incarnation),
            Event::Restart => {
                self.alive = true;
                self.schedule.after(0, Event::Poll { incarnation: self.incarnation });
            }
            Event::Unfreeze => {
                for event in std::mem::take(&mut self.inbox) {
                    self.handle(event);
                }
            }
            Event::Poll { incarnation }
            | Event::Page { incarnation, .. }
            | Event::SendFinished { incarnation, .. }
            | Event::StateRead { incarnation, .. }
            | Event::EngineRestarted { incarnation } => {
                if incarnation != self.incarnation || !self.alive {
                    return;
                }
                if self.schedule.now() < self.frozen_until {
                    return self.inbox.push(event);
                }
                self.handle_agent_event(event);
            }
        }
    }

    fn apply_action(&mut self, action: &OrderAction) {
        let now = self.schedule.now();
        match *action {
            OrderAction::Order { kind, valid_ms } => self.append_order(kind, now.plus_millis(valid_ms)),
            OrderAction::KillAgent { ms } => {
                if self.alive {
                    self.alive = false;
                    self.incarnation += 1;
                    self.gate = OrderGate::default();
                    self.next_offset = 0;
                    self.inbox.clear();
                    self.schedule.after(ms, Event::Restart);
                }
            }
            OrderAction::Freeze { ms } => {
                self.frozen_until = now.plus_millis(ms);
                self.schedule.after(ms, Event::Unfreeze);
            }
            OrderAction::RepeatPages { ms } => self.repeats_until = now.plus_millis(ms),
            OrderAction::RestartEngine => {
                self.engine = EngineState::default();
                self.schedule
                    .after(RESTART_DETECTION_MS, Event::EngineRestarted { incarnation: self.incarnation });
            }
            OrderAction::LoseAnswers { ms, applied } => {
                (self.lost_until, self.lost_orders_are_applied) = (now.plus_millis(ms), applied);
            }
            OrderAction::LogOutage { ms } => self.log.fail_until(now.plus_millis(ms)),
        }
    }

    fn append_order(&mut self, kind: OrderKind, deadline: Timestamp) {
        let now = self.schedule.now();
        if self.log.is_down(now) {
            return;
        }
        let number = self.orders.len() as u64;
        let target = format!("value {number}");
        self.orders.insert(target.clone(), (number, deadline));
        self.last_orders.insert(kind, target.clone());
        self.log.append(now, OrderRecord { kind, target, deadline_ms: deadline });
    }

    fn handle_agent_event(&mut self, event: Event) {
        let now = self.schedule.now();
        match event {
            Event::Poll { incarnation } => {
                if !self.log.is_down(now) {
                    let repeats = now < self.repeats_until;
                    let repeated = if repeats { REPEATED_RECORDS } else { 0 };
                    let (_, records) = self.log.read(now, self.next_offset.saturating_sub(repeated));
                    // Repeated pages have long delays, so that they arrive out of order.
                    let delay =
                        self.rng.u64(1..if repeats { 3 * POLL_INTERVAL_MS } else { POLL_INTERVAL_MS / 4 });
                    self.schedule.after(delay, Event::Page { incarnation, records });
                }
                self.schedule.after(POLL_INTERVAL_MS, Event::Poll { incarnation });
            }
            Event::Page { records, .. } => {
                for record in records {
                    self.next_offset = self.next_offset.max(record.offset + 1);
                    let _ = self.gate.accept(record.data.into_order(record.offset));
                }
            }
            Event::SendFinished { outcome, .. } => self.gate.send_finished(now, outcome),
            Event::StateRead { state: Some(state), .. } => self.gate.state_read(state),
            Event::StateRead { state: None, .. } => self.gate.read_failed(now),
            Event::EngineRestarted { .. } => self.gate.invalidate_engine_state(),
            _ => {}
        }
        let incarnation = self.incarnation;
        let delay = self.rng.u64(1..MAX_TRANSIT_MS);
        match self.gate.next_command(now) {
            Some(GateCommand::ReadBack) => self.schedule.after(delay, Event::ReadBackArrives { incarnation }),
            Some(GateCommand::Send(order)) => {
                self.schedule.after(delay, Event::OrderArrives { incarnation, order })
            }
            None => {}
        }
    }

    /// Delivers an order to the engine. An order that the engine does not apply
    /// arrives again only if the gate resends it.
    fn deliver_order(&mut self, incarnation: u64, order: Order) {
        let now = self.schedule.now();
        let lost = now < self.lost_until;
        let (number, deadline) = self.orders[&order.target];
        if now > deadline.plus_millis(MAX_TRANSIT_MS) {
            self.outcome.add_violation(format!("order {number} was sent after its deadline"));
        }
        let outcome = if lost && !self.lost_orders_are_applied {
            SendOutcome::Unknown
        } else if self.checks_tokens && self.engine.highest_fence.is_some_and(|fence| order.fence < fence) {
            SendOutcome::Stale
        } else {
            self.apply_order(order, number);
            if lost { SendOutcome::Unknown } else { SendOutcome::Applied }
        };
        let after_ms = if outcome == SendOutcome::Unknown { REPLY_TIMEOUT_MS } else { 5 };
        self.schedule.after(after_ms, Event::SendFinished { incarnation, outcome });
    }

    fn apply_order(&mut self, order: Order, number: u64) {
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

    fn read_engine_state(&mut self, incarnation: u64) {
        let lost = self.schedule.now() < self.lost_until;
        let state = (!lost).then(|| self.engine.clone());
        let after_ms = if lost { REPLY_TIMEOUT_MS } else { 5 };
        self.schedule.after(after_ms, Event::StateRead { incarnation, state });
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
