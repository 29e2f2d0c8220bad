//! One group whose ranks take the orders themselves, and the coordinators that follow each other.

use std::sync::Arc;

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};
use fuchsiabay_lockstep::{
    ExpertLayout, MapSwitch, Order, OrderReply, Recovery, SwitchOutcome, SwitchTiming, Takeover, next_version,
};

use crate::{
    Outcome, Step,
    lockstep_group::{LockstepGroup, STEP_MS},
    lockstep_script::{LockstepAction, RANKS, SCRIPT_MS},
};

/// The tick of the model, in milliseconds.
const TICK_MS: u64 = 5;
/// When the last fault is over, and when a case ends, in milliseconds.
const CALM_MS: u64 = SCRIPT_MS + 20_000;
const END_MS: u64 = CALM_MS + 10_000;
/// The time after which another coordinator takes over, in milliseconds.
const LEASE_MS: u64 = 1_600;
/// The part of a lease that its holder does not use, in milliseconds.
const LEASE_MARGIN_MS: u64 = 200;
/// The interval of the renewals, in milliseconds.
const RENEW_MS: u64 = 500;
/// How much later an order without a reply may be carried out, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;
/// Ends of switches in the calm time that show that the group can be switched.
const MIN_SWITCHES: u32 = 3;
/// Steps of the calm time that show that nothing holds the group.
const MIN_STEPS: u64 = (END_MS - CALM_MS) / STEP_MS / 2;

#[derive(Debug)]
struct Coordinator {
    term: u64,
    /// Until when it does nothing.
    idle_until_ms: u64,
    /// When its lease is over, as it knows. None while it renews it.
    lease_until_ms: Option<u64>,
    /// The epoch of the group that it knows, with the switch that it leads there.
    switch: Option<(u64, Box<MapSwitch>)>,
}

pub(crate) struct LockstepWorld {
    group: LockstepGroup,
    rng: fastrand::Rng,
    /// The one that holds the duty comes last. Others may not know yet that they have lost it.
    coordinators: Vec<Coordinator>,
    /// When the duty passes on although its holder lives.
    lapses_at_ms: Option<u64>,
    lost: (u64, u32),
    hidden_until_ms: [u64; RANKS],
    calm_switches: u32,
    outcome: Outcome,
}

impl LockstepWorld {
    pub(crate) fn run(steps: &[Step<LockstepAction>], seed: u64) -> Outcome {
        let mut world = Self {
            group: LockstepGroup::new(),
            rng: fastrand::Rng::with_seed(seed),
            coordinators: vec![Coordinator { term: 1, idle_until_ms: 0, lease_until_ms: None, switch: None }],
            lapses_at_ms: None,
            lost: (0, 0),
            hidden_until_ms: [0; RANKS],
            calm_switches: 0,
            outcome: Outcome::default(),
        };
        let mut steps = steps.iter().peekable();
        let mut calm_step = 0;
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            while let Some(step) = steps.next_if(|step| step.at_ms <= now_ms) {
                world.act(&step.action, now_ms);
            }
            world.tick(now_ms);
            if now_ms <= CALM_MS {
                calm_step = world.group.step;
            }
        }
        world.evaluate(calm_step)
    }

    fn act(&mut self, action: &LockstepAction, now_ms: u64) {
        match *action {
            LockstepAction::Kill => {
                self.coordinators.pop();
                self.replace_holder(now_ms + LEASE_MS, true);
            }
            LockstepAction::Freeze { ms } => self.freeze(ms, now_ms),
            LockstepAction::Reassign => {
                if let Some(holder) = self.coordinators.last_mut() {
                    holder.lease_until_ms.get_or_insert(now_ms + LEASE_MS - LEASE_MARGIN_MS);
                }
                let at_ms = now_ms + self.rng.u64(0..RENEW_MS);
                self.replace_holder(at_ms, false);
            }
            LockstepAction::LoseReplies { ms, percent } => self.lost = (now_ms + ms, percent),
            LockstepAction::HideRank { rank, ms } => self.hidden_until_ms[rank % RANKS] = now_ms + ms,
            LockstepAction::Regroup => self.group.regroup(now_ms),
        }
    }

    /// Pauses the holder of the duty. It loses the duty if its lease runs out meanwhile.
    fn freeze(&mut self, ms: u64, now_ms: u64) {
        let renewed_at_ms = now_ms.saturating_sub(self.rng.u64(0..RENEW_MS));
        let lapses_at_ms = renewed_at_ms + LEASE_MS;
        let Some(holder) = self.coordinators.last_mut() else {
            return;
        };
        holder.idle_until_ms = holder.idle_until_ms.max(now_ms + ms);
        if holder.idle_until_ms > lapses_at_ms {
            holder.lease_until_ms.get_or_insert(lapses_at_ms - LEASE_MARGIN_MS);
            self.lapses_at_ms.get_or_insert(lapses_at_ms);
        }
    }

    /// Adds the next holder of the duty, which takes it at `at_ms`.
    fn replace_holder(&mut self, at_ms: u64, predecessor_stopped: bool) {
        let term = self.coordinators.iter().map(|coordinator| coordinator.term).max().unwrap_or(0) + 1;
        let takeover =
            Takeover { at: Timestamp::from_millis(at_ms), predecessor_stopped, lease_ms: LEASE_MS };
        let idle_until_ms = takeover.ready_at().as_millis();
        self.coordinators.push(Coordinator { term, idle_until_ms, lease_until_ms: None, switch: None });
        self.lapses_at_ms = None;
    }

    fn tick(&mut self, now_ms: u64) {
        if let Err(violation) = self.group.advance(now_ms) {
            self.outcome.add_violation(violation);
        }
        if self.lapses_at_ms.is_some_and(|at| at <= now_ms) {
            self.replace_holder(now_ms, true);
        }
        let mut coordinators = std::mem::take(&mut self.coordinators);
        let holder = coordinators.len() - 1;
        for (i, coordinator) in coordinators.iter_mut().enumerate() {
            if coordinator.idle_until_ms > now_ms {
                continue;
            }
            let is_over = coordinator.lease_until_ms.is_some_and(|until_ms| until_ms <= now_ms);
            if is_over && is_mechanism_enabled("stop-at-lease-end") {
                coordinator.switch = None;
                continue;
            }
            match coordinator.switch.take() {
                Some((epoch, switch)) => coordinator.switch = self.drive(epoch, switch, now_ms),
                // Who does not know that it has lost the duty goes on as before.
                None if i == holder || !is_over => coordinator.switch = self.begin(coordinator.term, now_ms),
                None => {}
            }
        }
        let term = coordinators[holder].term;
        let knows =
            |coordinator: &Coordinator| coordinator.lease_until_ms.is_some_and(|until_ms| until_ms <= now_ms);
        coordinators.retain(|coordinator| {
            coordinator.switch.is_some() || !knows(coordinator) || coordinator.term == term
        });
        self.coordinators = coordinators;
    }

    fn is_hidden(&self, rank: usize, now_ms: u64) -> bool {
        self.hidden_until_ms[rank] > now_ms
    }

    fn order(&mut self, rank: usize, epoch: u64, order: &Order, now_ms: u64) -> OrderReply {
        if self.is_hidden(rank, now_ms) {
            return OrderReply::Unanswered;
        }
        let (until_ms, percent) = self.lost;
        if now_ms >= until_ms || self.rng.u32(..100) >= percent {
            return self.group.order(rank, epoch, order, now_ms);
        }
        if self.rng.bool() {
            self.group.order(rank, epoch, order, now_ms);
        } else {
            self.group.order_later(now_ms + self.rng.u64(LATE_MS), rank, epoch, order);
        }
        OrderReply::Unanswered
    }

    /// Settles what a former coordinator left behind, or begins a switch.
    fn begin(&mut self, term: u64, now_ms: u64) -> Option<(u64, Box<MapSwitch>)> {
        if (0..RANKS).any(|rank| self.is_hidden(rank, now_ms)) {
            return None;
        }
        let states: Vec<_> = (0..RANKS).map(|rank| self.group.state(rank)).collect();
        if let Recovery::Orders(orders) = Recovery::from_states(&states) {
            for (rank, order) in orders {
                self.order(rank, self.group.epoch, &order, now_ms);
            }
            return None;
        }
        if states.iter().any(|state| state.armed.is_some()) {
            return None;
        }
        let highest = states.iter().map(|state| state.map_version.max(state.prepared.unwrap_or(0))).max();
        let version = next_version(highest.unwrap_or(0), term);
        let content = vec![self.rng.u16(..)];
        let layout = Arc::new(ExpertLayout { sets: vec![vec![content; RANKS]] });
        let now = Timestamp::from_millis(now_ms);
        let timing = SwitchTiming {
            copies_done_at: now.plus_millis(100),
            prepare_deadline: now.plus_millis(2_500),
            lead_steps: 2,
        };
        Some((self.group.epoch, Box::new(MapSwitch::new(version, layout, self.group.step, timing))))
    }

    /// Drives a switch on. Returns it unless it has ended.
    fn drive(
        &mut self,
        epoch: u64,
        mut switch: Box<MapSwitch>,
        now_ms: u64,
    ) -> Option<(u64, Box<MapSwitch>)> {
        let now = Timestamp::from_millis(now_ms);
        switch.note_step(self.group.step);
        for (rank, order) in switch.poll(now) {
            let reply = self.order(rank, epoch, &order, now_ms);
            switch.note_reply(rank, &order, reply, now);
        }
        if switch.needs_states() {
            if self.group.epoch != epoch {
                return None;
            }
            for rank in 0..RANKS {
                match self.is_hidden(rank, now_ms) {
                    true => switch.note_unreachable(rank),
                    false => switch.note_state(rank, &self.group.state(rank), now),
                }
            }
        }
        let end = switch.outcome();
        self.calm_switches +=
            u32::from(now_ms > CALM_MS && matches!(end, Some(SwitchOutcome::Switched { .. })));
        end.is_none().then_some((epoch, switch))
    }

    fn evaluate(mut self, calm_step: u64) -> Outcome {
        let steps = self.group.step - calm_step;
        self.outcome.add_fact("goes on", (steps >= MIN_STEPS).to_string());
        if steps < MIN_STEPS {
            self.outcome.add_violation("the group stands still");
        } else if self.calm_switches < MIN_SWITCHES {
            self.outcome.add_violation("the group is not switched any more");
        }
        self.outcome
    }
}
