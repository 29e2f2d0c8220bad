//! A simulated world of one group whose ranks execute the orders themselves, and its successive coordinators.

use std::sync::Arc;

use fuchsiabay_base::{Timestamp, is_mechanism_enabled};
use fuchsiabay_lockstep::{
    ExpertLayout, LeaseTerm, MapSwitch, Order, OrderHistory, OrderReply, RankState, Recovery,
    ReplacementLayout, StallWatch, SwitchOutcome, SwitchTiming, Takeover,
};

use crate::{
    Outcome, Step,
    lockstep_group::{LockstepGroup, STEP_MS},
    lockstep_script::{LockstepAction, OrderKind, RANKS, SCRIPT_MS},
};

/// The name of the group.
const GROUP: &str = "g";
/// The time step of the simulation, in milliseconds.
const TICK_MS: u64 = 5;
/// When the last fault has ended, in milliseconds. No fault happens from then until the end of the case.
const FAULTS_END_MS: u64 = SCRIPT_MS + 20_000;
/// When a case ends, in milliseconds.
const END_MS: u64 = FAULTS_END_MS + 10_000;
/// The duration of the coordinator lease, in milliseconds. Another coordinator takes over when it expires.
const LEASE_MS: u64 = 1_600;
/// How long before the expiry of its lease a holder stops, in milliseconds.
const LEASE_MARGIN_MS: u64 = 200;
/// The interval between renewals of the lease, in milliseconds.
const RENEWAL_INTERVAL_MS: u64 = 500;
/// The share of completed switches after which the coordinator reads the group anew, as it does when a server joins, in percent.
const REDISCOVERY_PERCENT: u32 = 12;
/// The delay after which an order without a reply may be executed, in milliseconds.
const EXECUTION_DELAY_MS: std::ops::Range<u64> = 2_000..12_000;
/// The longest time for which a restarted coordinator measures the demand before its first switch, in milliseconds.
const MAX_MEASURING_MS: u64 = 3_000;
/// The minimum number of completed switches in the fault-free period. Fewer mean that the group can no longer switch
/// maps.
const MIN_SWITCHES: u32 = 3;
/// The minimum number of steps in the fault-free period. Fewer mean that a step is still held.
const MIN_STEPS: u64 = (END_MS - FAULTS_END_MS) / STEP_MS / 2;

#[derive(Debug)]
struct Coordinator {
    term: u64,
    /// Until when the coordinator is frozen or waits before its first order.
    idle_until_ms: u64,
    /// When the coordinator must stop because its lease expires. `None` while it renews the lease.
    stop_at_ms: Option<u64>,
    /// The switch in progress, with the epoch of the group for which it was begun.
    switch: Option<(u64, Box<MapSwitch>)>,
    /// The last completed switch.
    decided: Option<DecidedSwitch>,
    found: Option<FoundGroup>,
    /// Until when the coordinator measures the demand, so that it begins no switch.
    measures_until_ms: u64,
    history: OrderHistory,
}

/// What a coordinator has read of the group when it found it. It reads the group anew only after a switch that was not completed,
/// or after a recovery.
#[derive(Clone, Copy, Debug)]
struct FoundGroup {
    epoch: u64,
    /// The highest version that a rank reported.
    map_version: u64,
}

/// A switch that the coordinator has completed.
#[derive(Clone, Copy, Debug)]
struct DecidedSwitch {
    epoch: u64,
    step: u64,
    watch: StallWatch,
}

impl Coordinator {
    fn new(term: u64, idle_until_ms: u64) -> Self {
        Self {
            term,
            idle_until_ms,
            stop_at_ms: None,
            switch: None,
            decided: None,
            found: None,
            measures_until_ms: 0,
            history: OrderHistory::default(),
        }
    }
}

pub(crate) struct LockstepWorld {
    group: LockstepGroup,
    rng: fastrand::Rng,
    /// The coordinators, of which the last one holds the lease. The others may not know yet that they have lost it.
    coordinators: Vec<Coordinator>,
    /// The last term of the lease. No two processes hold the lease in the same term.
    last_term: u64,
    /// When the lease of a frozen holder expires, so that another coordinator takes over.
    lease_expires_at_ms: Option<u64>,
    /// Until when replies are lost, and their percentage.
    reply_loss: (u64, u32),
    /// The kinds of orders that are executed late, each with its end.
    delayed_kinds: Vec<(OrderKind, u64)>,
    unreachable_until_ms: [u64; RANKS],
    /// The number of completed switches in the fault-free period.
    fault_free_switches: u32,
    outcome: Outcome,
}

impl LockstepWorld {
    pub(crate) fn run(steps: &[Step<LockstepAction>], seed: u64) -> Outcome {
        let mut world = Self {
            group: LockstepGroup::new(!seed),
            rng: fastrand::Rng::with_seed(seed),
            coordinators: vec![Coordinator::new(1, 0)],
            last_term: 1,
            lease_expires_at_ms: None,
            reply_loss: (0, 0),
            delayed_kinds: Vec::new(),
            unreachable_until_ms: [0; RANKS],
            fault_free_switches: 0,
            outcome: Outcome::default(),
        };
        let mut steps = steps.iter().peekable();
        let mut step_after_faults = 0;
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            while let Some(step) = steps.next_if(|step| step.at_ms <= now_ms) {
                world.apply_action(&step.action, now_ms);
            }
            world.tick(now_ms);
            if now_ms <= FAULTS_END_MS {
                step_after_faults = world.group.step;
            }
        }
        world.evaluate(step_after_faults)
    }

    fn apply_action(&mut self, action: &LockstepAction, now_ms: u64) {
        match *action {
            LockstepAction::Kill => {
                self.coordinators.pop();
                self.replace_holder(now_ms + LEASE_MS, true);
            }
            LockstepAction::Restart { ms } => {
                self.coordinators.pop();
                self.restart_holder(now_ms, now_ms + ms);
            }
            LockstepAction::Freeze { ms } => self.freeze(ms, now_ms),
            LockstepAction::Reassign => {
                if let Some(holder) = self.coordinators.last_mut() {
                    holder.stop_at_ms.get_or_insert(now_ms + LEASE_MS - LEASE_MARGIN_MS);
                }
                let at_ms = now_ms + self.rng.u64(0..RENEWAL_INTERVAL_MS);
                self.replace_holder(at_ms, false);
            }
            LockstepAction::LoseReplies { ms, percent } => self.reply_loss = (now_ms + ms, percent),
            LockstepAction::DelayOrders { kind, ms } => self.delayed_kinds.push((kind, now_ms + ms)),
            LockstepAction::Idle { ms } => self.group.idle_until(now_ms + ms),
            LockstepAction::HideRank { rank, ms } => self.unreachable_until_ms[rank % RANKS] = now_ms + ms,
            LockstepAction::Regroup => self.group.regroup(now_ms),
        }
    }

    /// Freezes the lease holder. It loses the lease if that expires while it is frozen.
    fn freeze(&mut self, ms: u64, now_ms: u64) {
        let renewed_at_ms = now_ms.saturating_sub(self.rng.u64(0..RENEWAL_INTERVAL_MS));
        let lease_expires_at_ms = renewed_at_ms + LEASE_MS;
        let Some(holder) = self.coordinators.last_mut() else {
            return;
        };
        holder.idle_until_ms = holder.idle_until_ms.max(now_ms + ms);
        if holder.idle_until_ms > lease_expires_at_ms {
            holder.stop_at_ms.get_or_insert(lease_expires_at_ms - LEASE_MARGIN_MS);
            self.lease_expires_at_ms.get_or_insert(lease_expires_at_ms);
        }
    }

    /// Adds the next process of the lease holder that was killed at `killed_at_ms`. It starts at `at_ms`.
    fn restart_holder(&mut self, killed_at_ms: u64, at_ms: u64) {
        if is_mechanism_enabled("term-per-process") {
            // The lease expires, and the process joins again: each of them begins a term.
            self.last_term += 1;
            self.replace_holder(at_ms.max(killed_at_ms + LEASE_MS), true);
        } else {
            self.add_holder(at_ms, true);
        }
        let measuring_ms = self.rng.u64(..MAX_MEASURING_MS);
        if let Some(holder) = self.coordinators.last_mut() {
            holder.measures_until_ms = holder.idle_until_ms + measuring_ms;
        }
    }

    /// Adds the next lease holder, which takes over at `at_ms` in a new term.
    fn replace_holder(&mut self, at_ms: u64, predecessor_stopped: bool) {
        self.last_term += 1;
        self.add_holder(at_ms, predecessor_stopped);
    }

    /// Adds a lease holder, which takes over at `at_ms` in the last term.
    fn add_holder(&mut self, at_ms: u64, predecessor_stopped: bool) {
        let takeover =
            Takeover { acquired_at: Timestamp::from_millis(at_ms), predecessor_stopped, lease_ms: LEASE_MS };
        let idle_until_ms = takeover.ready_at().as_millis();
        self.coordinators.push(Coordinator::new(self.last_term, idle_until_ms));
        self.lease_expires_at_ms = None;
    }

    fn tick(&mut self, now_ms: u64) {
        if let Err(violation) = self.group.advance(now_ms) {
            self.outcome.add_violation(violation);
        }
        if self.lease_expires_at_ms.is_some_and(|at| at <= now_ms) {
            self.replace_holder(now_ms, true);
        }
        let mut coordinators = std::mem::take(&mut self.coordinators);
        let holder = coordinators.len() - 1;
        for (i, coordinator) in coordinators.iter_mut().enumerate() {
            if coordinator.idle_until_ms > now_ms {
                continue;
            }
            let lease_expired = coordinator.stop_at_ms.is_some_and(|until_ms| until_ms <= now_ms);
            if lease_expired && is_mechanism_enabled("stop-at-lease-end") {
                coordinator.switch = None;
                continue;
            }
            match coordinator.switch.take() {
                Some((epoch, switch)) => self.advance_switch(coordinator, epoch, switch, now_ms),
                // A coordinator that does not know that it has lost the lease continues as before.
                None if i == holder || !lease_expired => {
                    coordinator.switch = self.begin_switch(coordinator, now_ms);
                }
                None => {}
            }
        }
        let term = coordinators[holder].term;
        let knows_expiry =
            |coordinator: &Coordinator| coordinator.stop_at_ms.is_some_and(|until_ms| until_ms <= now_ms);
        coordinators.retain(|coordinator| {
            coordinator.switch.is_some() || !knows_expiry(coordinator) || coordinator.term == term
        });
        self.coordinators = coordinators;
    }

    fn is_unreachable(&self, rank: usize, now_ms: u64) -> bool {
        self.unreachable_until_ms[rank] > now_ms
    }

    fn send_order(&mut self, rank: usize, epoch: u64, order: &Order, now_ms: u64) -> OrderReply {
        if self.is_unreachable(rank, now_ms) {
            return OrderReply::Unanswered;
        }
        let kind = OrderKind::of(order);
        if self.delayed_kinds.iter().any(|(delayed, until_ms)| *delayed == kind && now_ms < *until_ms) {
            return self.execute_later(rank, epoch, order, now_ms);
        }
        let (until_ms, percent) = self.reply_loss;
        if now_ms >= until_ms || self.rng.u32(..100) >= percent {
            return self.group.execute(rank, epoch, order, now_ms);
        }
        if self.rng.bool() {
            self.group.execute(rank, epoch, order, now_ms);
            return OrderReply::Unanswered;
        }
        self.execute_later(rank, epoch, order, now_ms)
    }

    fn execute_later(&mut self, rank: usize, epoch: u64, order: &Order, now_ms: u64) -> OrderReply {
        self.group.execute_later(now_ms + self.rng.u64(EXECUTION_DELAY_MS), rank, epoch, order);
        OrderReply::Unanswered
    }

    /// Sends the orders of a recovery.
    fn recover(&mut self, recovery: &Recovery, coordinator: &mut Coordinator, epoch: u64, now_ms: u64) {
        let highest = self.states().iter().map(RankState::highest_version).max().unwrap_or(0);
        let term = LeaseTerm { store_epoch: 0, generation: coordinator.term };
        let version = coordinator.history.choose_version(GROUP, highest, term);
        let replacement = ReplacementLayout { version, layout: Arc::new(ExpertLayout { sets: Vec::new() }) };
        let mut run = recovery.start(Some(&replacement));
        loop {
            let stage = run.orders();
            if stage.is_empty() {
                return;
            }
            coordinator.history.record_holds(GROUP, epoch, stage.iter().map(|(_, order)| order));
            coordinator.history.record(GROUP, epoch, Timestamp::from_millis(now_ms));
            let replies: Vec<_> =
                stage.iter().map(|(rank, order)| self.send_order(*rank, epoch, order, now_ms)).collect();
            run.handle_replies(&replies);
        }
    }

    fn states(&self) -> Vec<RankState> {
        (0..RANKS).map(|rank| self.group.reported_state(rank)).collect()
    }

    /// Returns whether the coordinator leaves the group as it is, because the step of its last switch has not begun. It only
    /// looks whether that step is held, from time to time.
    fn awaits_step(&self, coordinator: &mut Coordinator, now_ms: u64) -> bool {
        let now = Timestamp::from_millis(now_ms);
        let Some(decided) = &mut coordinator.decided else {
            return false;
        };
        if decided.epoch != self.group.epoch || decided.step <= self.group.step {
            coordinator.decided = None;
            return false;
        }
        decided.watch.record_step(self.group.step, now);
        let ranks = decided.watch.take_due(RANKS, now);
        !ranks
            .into_iter()
            .any(|rank| !self.is_unreachable(rank, now_ms) && self.group.reported_state(rank).held.is_some())
    }

    /// Recovers from an unfinished switch, or begins a new one.
    fn begin_switch(&mut self, coordinator: &mut Coordinator, now_ms: u64) -> Option<(u64, Box<MapSwitch>)> {
        let now = Timestamp::from_millis(now_ms);
        if self.awaits_step(coordinator, now_ms) || (0..RANKS).any(|rank| self.is_unreachable(rank, now_ms)) {
            return None;
        }
        let states = self.states();
        let epoch = states[0].epoch;
        let is_in_one_epoch = states.iter().all(|state| state.epoch == epoch);
        if !is_in_one_epoch || !coordinator.history.is_reported(GROUP, epoch, now) {
            return None;
        }
        let decided_step = coordinator.decided.as_ref().map(|decided| decided.step);
        if let Some(recovery) = Recovery::from_states(&states, decided_step) {
            self.recover(&recovery, coordinator, epoch, now_ms);
            coordinator.found = None;
            return None;
        }
        if states.iter().any(|state| state.armed.is_some()) {
            return None;
        }
        let found = coordinator.found.filter(|found| found.epoch == epoch);
        let found = *coordinator.found.insert(found.unwrap_or_else(|| FoundGroup {
            epoch,
            map_version: states.iter().map(RankState::highest_version).max().unwrap_or(0),
        }));
        if now_ms < coordinator.measures_until_ms {
            return None;
        }
        let term = LeaseTerm { store_epoch: 0, generation: coordinator.term };
        let version = coordinator.history.choose_version(GROUP, found.map_version, term);
        let content = vec![self.rng.u16(..)];
        let layout = Arc::new(ExpertLayout { sets: vec![vec![content; RANKS]] });
        let timing = SwitchTiming {
            copies_done_at: now.plus_millis(100),
            prepare_deadline: now.plus_millis(2_500),
            lead_steps: 2,
        };
        let last_step = self.group.step.max(coordinator.history.last_held_step(GROUP, epoch));
        Some((epoch, Box::new(MapSwitch::new(version, layout, last_step, timing))))
    }

    /// Advances a switch, which remains with the coordinator unless it has ended.
    fn advance_switch(
        &mut self,
        coordinator: &mut Coordinator,
        epoch: u64,
        mut switch: Box<MapSwitch>,
        now_ms: u64,
    ) {
        let now = Timestamp::from_millis(now_ms);
        switch.record_step(self.group.step);
        let orders = switch.poll(now);
        coordinator.history.record_holds(GROUP, epoch, orders.iter().map(|(_, order)| order));
        for (rank, order) in orders {
            let reply = self.send_order(rank, epoch, &order, now_ms);
            coordinator.history.record(GROUP, epoch, now);
            switch.handle_reply(rank, &order, reply, now);
        }
        for rank in switch.ranks_to_read() {
            if self.is_unreachable(rank, now_ms) {
                switch.handle_unreachable(rank);
                continue;
            }
            let state = self.group.reported_state(rank);
            if state.epoch != epoch {
                return;
            }
            switch.handle_state(rank, &state, now);
        }
        match switch.outcome() {
            None => coordinator.switch = Some((epoch, switch)),
            Some(SwitchOutcome::Switched { step }) => {
                self.fault_free_switches += u32::from(now_ms > FAULTS_END_MS);
                let watch = StallWatch::new(self.group.step, now);
                let is_kept = self.rng.u32(..100) >= REDISCOVERY_PERCENT;
                coordinator.decided = is_kept.then_some(DecidedSwitch { epoch, step, watch });
                coordinator.found = coordinator.found.filter(|_| is_kept);
            }
            Some(SwitchOutcome::Aborted(_)) => {
                coordinator.found = None;
                if let Some(recovery) = switch.recovery() {
                    self.recover(&recovery, coordinator, epoch, now_ms);
                }
            }
        }
    }

    fn evaluate(mut self, step_after_faults: u64) -> Outcome {
        let steps = self.group.step - step_after_faults;
        self.outcome.add_fact("goes on", (steps >= MIN_STEPS).to_string());
        if steps < MIN_STEPS {
            self.outcome.add_violation("the group stands still");
        } else if self.fault_free_switches < MIN_SWITCHES {
            self.outcome.add_violation("the group is not switched any more");
        }
        self.outcome
    }
}
