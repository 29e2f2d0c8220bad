//! The switch of a group to a new layout.

use std::sync::Arc;

use fuchsiabay_base::{Timestamp, invariant, is_mechanism_enabled};

use crate::{ExpertLayout, LeaseTerm, Order, OrderReply, RankState, Recovery};

/// The interval at which an order without an accepted reply is resent, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 120;

/// The rank that holds the step of a switch.
const HOLD_RANK: usize = 0;

/// The number of conflict replies of a rank to arm orders after which the switch is rolled back. A rank replies with a
/// conflict while it copies experts.
const MAX_ARM_CONFLICTS: u32 = 12;

/// The number of steps for which a hold is attempted before the switch is aborted.
const MAX_HOLD_ATTEMPTS: u32 = 4;

/// The reason of a switch that was aborted after its step was held. It is a label value of `fuchsiabay_map_switches_total`, so
/// its text must not change.
const TAKEN_BACK: &str = "taken back";

/// The timing of the phases of a switch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwitchTiming {
    /// When every rank is expected to have copied its experts.
    pub copies_done_at: Timestamp,
    /// The deadline for preparing all ranks. After it, the layout no longer matches the demand.
    pub prepare_deadline: Timestamp,
    /// The number of steps from the last known step to the step of the switch.
    pub lead_steps: u64,
}

/// The modulus that separates the versions of different coordinators: all versions of a term have the same remainder, so
/// that no version ever identifies two layouts.
const VERSION_STRIDE: u64 = 4_096;

/// Returns a version above `highest` that only the coordinator of `term` uses.
pub fn next_version(highest: u64, term: LeaseTerm) -> u64 {
    (highest / VERSION_STRIDE + 1) * VERSION_STRIDE + term.remainder(VERSION_STRIDE)
}

/// How a switch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwitchOutcome {
    /// All ranks switch at the step.
    Switched {
        /// The step.
        step: u64,
    },
    /// No rank switches, for the given reason.
    Aborted(&'static str),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Preparing,
    Confirming,
    Holding { step: u64 },
    Verifying { step: u64 },
    Arming { step: u64 },
    Releasing { step: u64, switched: bool },
    Ended(SwitchOutcome),
}

/// The progress of one rank in the current phase.
#[derive(Clone, Copy, Debug, Default)]
struct RankProgress {
    is_done: bool,
    conflicts: u32,
    /// When the order may be sent next.
    send_at: Timestamp,
}

/// The state machine of one switch: prepares all ranks, confirms that all are prepared, holds a step on one rank, verifies
/// the state of all ranks again, arms all ranks, and releases the step. The caller sends the orders and reports the replies.
#[derive(Clone, Debug)]
pub struct MapSwitch {
    version: u64,
    layout: Arc<ExpertLayout>,
    timing: SwitchTiming,
    phase: Phase,
    ranks: Vec<RankProgress>,
    hold_attempts: u32,
    last_step: u64,
    /// The held step for which not all ranks could be armed.
    unarmed_step: Option<u64>,
}

impl MapSwitch {
    /// Creates the switch of a group to `layout` under `version`. `last_step` is the last step that has begun, or that this
    /// coordinator has held before.
    pub fn new(version: u64, layout: Arc<ExpertLayout>, last_step: u64, timing: SwitchTiming) -> Self {
        let rank_count = layout.sets.first().map_or(0, Vec::len);
        let ranks = vec![RankProgress::default(); rank_count];
        let phase = Phase::Preparing;
        Self { version, layout, timing, phase, ranks, hold_attempts: 0, last_step, unarmed_step: None }
    }

    /// Returns the outcome, or `None` while the switch is in progress.
    pub fn outcome(&self) -> Option<SwitchOutcome> {
        match self.phase {
            Phase::Ended(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Returns what remains to be done after the switch was aborted, or `None` if nothing does.
    pub fn recovery(&self) -> Option<Recovery> {
        let step = self.unarmed_step?;
        Some(Recovery::from_aborted_switch(self.ranks.len(), self.version, HOLD_RANK, step))
    }

    /// Advances the switch and returns the orders to send now, each with its rank.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(usize, Order)> {
        self.advance(now);
        let order = match self.phase {
            Phase::Ended(_) | Phase::Confirming | Phase::Verifying { .. } => return Vec::new(),
            Phase::Holding { step } => return self.poll_hold_rank(Order::Hold { step }, now),
            Phase::Releasing { step, .. } => return self.poll_hold_rank(Order::Release { step }, now),
            Phase::Preparing => Order::Prepare { version: self.version, layout: self.layout.clone() },
            Phase::Arming { step } => Order::Arm { version: self.version, step },
        };
        let mut orders = Vec::new();
        for (rank, progress) in self.ranks.iter_mut().enumerate() {
            if !progress.is_done && progress.send_at <= now {
                progress.send_at = now.plus_millis(RESEND_INTERVAL_MS);
                orders.push((rank, order.clone()));
            }
        }
        orders
    }

    /// Handles the reply of a rank to an order. Replies to orders of earlier phases are ignored.
    pub fn handle_reply(&mut self, rank: usize, order: &Order, reply: OrderReply, now: Timestamp) {
        match (self.phase, order) {
            (Phase::Preparing, Order::Prepare { .. }) => self.handle_prepare_reply(rank, reply),
            (Phase::Holding { step }, Order::Hold { step: held }) if step == *held => {
                self.handle_hold_reply(step, reply, now)
            }
            (Phase::Arming { step }, Order::Arm { step: armed, .. }) if step == *armed => {
                self.handle_arm_reply(rank, step, reply);
            }
            (Phase::Releasing { step, switched }, Order::Release { .. })
                if reply != OrderReply::Unanswered =>
            {
                let outcome = if switched {
                    SwitchOutcome::Switched { step }
                } else {
                    SwitchOutcome::Aborted(TAKEN_BACK)
                };
                self.phase = Phase::Ended(outcome);
            }
            _ => {}
        }
        self.advance(now);
    }

    /// Handles the reported state of a rank, which confirms orders whose replies were lost.
    pub fn handle_state(&mut self, rank: usize, state: &RankState, now: Timestamp) {
        self.last_step = self.last_step.max(state.step);
        match self.phase {
            Phase::Preparing | Phase::Confirming if state.prepared == Some(self.version) => {
                self.ranks[rank].is_done = true;
            }
            Phase::Holding { step } if rank == HOLD_RANK && state.held == Some(step) => {
                self.start_phase(Phase::Verifying { step });
            }
            Phase::Verifying { step } => self.verify(rank, step, state),
            Phase::Arming { step } if is_armed(state, self.version, step) => self.ranks[rank].is_done = true,
            _ => {}
        }
        self.advance(now);
    }

    /// Updates the last step that is known or estimated to have begun.
    pub fn record_step(&mut self, step: u64) {
        self.last_step = self.last_step.max(step);
    }

    /// Returns the ranks whose states must be read for the switch to proceed.
    pub fn ranks_to_read(&self) -> Vec<usize> {
        let is_needed = |progress: &RankProgress| match self.phase {
            Phase::Confirming | Phase::Verifying { .. } => !progress.is_done,
            Phase::Preparing | Phase::Arming { .. } => !progress.is_done && progress.conflicts > 0,
            _ => false,
        };
        (0..self.ranks.len()).filter(|rank| is_needed(&self.ranks[*rank])).collect()
    }

    /// Handles a rank whose state could not be read.
    ///
    /// Between hold and arm this aborts the switch: an arm order to an unreachable rank could not be revoked, and the group
    /// would stay held until the rank is reachable again.
    pub fn handle_unreachable(&mut self, rank: usize) {
        if let Phase::Verifying { step } = self.phase {
            self.ranks[rank].conflicts += 1;
            self.start_phase(Phase::Releasing { step, switched: false });
        }
    }

    fn verify(&mut self, rank: usize, step: u64, state: &RankState) {
        if state.prepared != Some(self.version) || state.armed.is_some() {
            self.start_phase(Phase::Releasing { step, switched: false });
            return;
        }
        self.ranks[rank].is_done = true;
    }

    fn poll_hold_rank(&mut self, order: Order, now: Timestamp) -> Vec<(usize, Order)> {
        let progress = &mut self.ranks[HOLD_RANK];
        if progress.send_at > now {
            return Vec::new();
        }
        progress.send_at = now.plus_millis(RESEND_INTERVAL_MS);
        vec![(HOLD_RANK, order)]
    }

    fn handle_prepare_reply(&mut self, rank: usize, reply: OrderReply) {
        match reply {
            OrderReply::Accepted => self.ranks[rank].is_done = true,
            OrderReply::Conflict => self.ranks[rank].conflicts += 1,
            OrderReply::Unanswered => {}
        }
    }

    fn handle_hold_reply(&mut self, step: u64, reply: OrderReply, now: Timestamp) {
        match reply {
            OrderReply::Accepted => self.start_phase(Phase::Verifying { step }),
            OrderReply::Conflict if self.hold_attempts >= MAX_HOLD_ATTEMPTS => {
                self.phase = Phase::Ended(SwitchOutcome::Aborted("no step could be held"));
            }
            OrderReply::Conflict => {
                self.last_step = self.last_step.max(step);
                self.start_holding();
                self.ranks[HOLD_RANK].send_at = now;
            }
            OrderReply::Unanswered => {}
        }
    }

    fn handle_arm_reply(&mut self, rank: usize, step: u64, reply: OrderReply) {
        let progress = &mut self.ranks[rank];
        match reply {
            OrderReply::Accepted => progress.is_done = true,
            OrderReply::Unanswered => progress.is_done = !is_mechanism_enabled("arm-acknowledged"),
            OrderReply::Conflict => {
                progress.conflicts += 1;
                if progress.conflicts >= MAX_ARM_CONFLICTS {
                    self.unarmed_step = Some(step);
                    self.phase = Phase::Ended(SwitchOutcome::Aborted(TAKEN_BACK));
                }
            }
        }
    }

    /// Starts the next phase when every rank has completed the current one.
    fn advance(&mut self, now: Timestamp) {
        let all_done = self.ranks.iter().all(|progress| progress.is_done);
        match self.phase {
            Phase::Preparing if all_done && now >= self.timing.copies_done_at => {
                self.start_phase(Phase::Confirming)
            }
            // The states are confirmed first, because a rank whose prepare order was resent is ready later than others.
            Phase::Confirming if all_done && !is_mechanism_enabled("hold-before-arm") => {
                self.start_phase(Phase::Arming { step: self.last_step + self.timing.lead_steps });
            }
            Phase::Confirming if all_done => self.start_holding(),
            Phase::Preparing | Phase::Confirming if !all_done && now >= self.timing.prepare_deadline => {
                self.phase = Phase::Ended(SwitchOutcome::Aborted("a rank could not be prepared"));
            }
            Phase::Verifying { step } if all_done => self.start_arming(step),
            Phase::Arming { step } if all_done => {
                self.start_phase(Phase::Releasing { step, switched: true });
            }
            _ => {}
        }
    }

    fn start_holding(&mut self) {
        self.hold_attempts += 1;
        let step = self.next_held_step();
        self.start_phase(Phase::Holding { step });
    }

    /// Returns the step to hold. Coordinators of consecutive terms, whose versions differ in parity, never hold the same step of an
    /// idle group, so that no release order of the previous one releases it.
    const fn next_held_step(&self) -> u64 {
        let step = self.last_step + self.timing.lead_steps;
        step + (step + self.version) % 2
    }

    fn start_arming(&mut self, step: u64) {
        invariant!("hold_before_arm", self.phase == Phase::Verifying { step }, "phase {:?}", self.phase);
        self.start_phase(Phase::Arming { step });
    }

    fn start_phase(&mut self, phase: Phase) {
        self.phase = phase;
        for progress in &mut self.ranks {
            *progress = RankProgress::default();
        }
    }
}

fn is_armed(state: &RankState, version: u64, step: u64) -> bool {
    state.armed.is_some_and(|armed| armed.version == version && armed.step.is_none_or(|at| at == step))
}
