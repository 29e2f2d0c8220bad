//! The switch of a group to a new layout.

use std::sync::Arc;

use fuchsiabay_base::{Timestamp, invariant, is_mechanism_enabled};

use crate::{ExpertLayout, Order, OrderReply, RankState};

/// The pause before an order is sent again, in milliseconds.
const RESEND_MS: u64 = 120;

/// Rounds in which a rank may refuse to arm before the switch is taken back. A rank refuses as long as it copies.
const MAX_ARM_CONFLICTS: u32 = 12;

/// Steps that are tried for a hold before the switch is given up.
const MAX_HOLD_STEPS: u32 = 4;

/// How long the parts of a switch take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwitchTiming {
    /// When every rank will have copied its experts.
    pub copies_done_at: Timestamp,
    /// Until when ranks may be prepared. Later the demand has moved on.
    pub prepare_deadline: Timestamp,
    /// Steps from the last known one to the step of the switch.
    pub lead_steps: u64,
}

/// Versions of one coordinator differ from those of another in their remainder by this number, so that no version ever
/// stands for two layouts.
const VERSION_STRIDE: u64 = 4_096;

/// Returns a version above `highest` that only the coordinator of `term` uses.
pub fn next_version(highest: u64, term: u64) -> u64 {
    (highest / VERSION_STRIDE + 1) * VERSION_STRIDE + term % VERSION_STRIDE
}

/// How a switch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwitchOutcome {
    /// All ranks switch at the step.
    Switched {
        /// The step.
        step: u64,
    },
    /// No rank switches, for this reason.
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
    Disarming { step: u64 },
    Ended(SwitchOutcome),
}

/// What is known of one rank during the current phase.
#[derive(Clone, Copy, Debug, Default)]
struct RankProgress {
    is_done: bool,
    conflicts: u32,
    /// When the order is sent next.
    send_at: Timestamp,
}

/// Drives one switch: prepare on all ranks, see that all are prepared, hold on one, look at all again, arm on all, release. The caller sends the orders and
/// reports the replies.
#[derive(Clone, Debug)]
pub struct MapSwitch {
    version: u64,
    layout: Arc<ExpertLayout>,
    timing: SwitchTiming,
    phase: Phase,
    ranks: Vec<RankProgress>,
    hold_rank: usize,
    hold_tries: u32,
    last_step: u64,
}

impl MapSwitch {
    /// Starts the switch of a group to `layout`, which gets `version`.
    pub fn new(version: u64, layout: Arc<ExpertLayout>, last_step: u64, timing: SwitchTiming) -> Self {
        let rank_count = layout.sets.first().map_or(0, Vec::len);
        let ranks = vec![RankProgress::default(); rank_count];
        let phase = Phase::Preparing;
        Self { version, layout, timing, phase, ranks, hold_rank: 0, hold_tries: 0, last_step }
    }

    /// Returns how the switch ended, once it has.
    pub fn outcome(&self) -> Option<SwitchOutcome> {
        match self.phase {
            Phase::Ended(end) => Some(end),
            _ => None,
        }
    }

    /// Returns the name of the phase, for logs.
    pub fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Preparing => "preparing",
            Phase::Confirming => "confirming",
            Phase::Holding { .. } => "holding",
            Phase::Verifying { .. } => "verifying",
            Phase::Arming { .. } => "arming",
            Phase::Releasing { .. } => "releasing",
            Phase::Disarming { .. } => "disarming",
            Phase::Ended(_) => "ended",
        }
    }

    /// Returns the orders to send now, each with its rank.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(usize, Order)> {
        self.advance(now);
        let order = match self.phase {
            Phase::Ended(_) | Phase::Confirming | Phase::Verifying { .. } => return Vec::new(),
            Phase::Holding { step } => return self.poll_hold_rank(Order::Hold { step }, now),
            Phase::Releasing { step, .. } => return self.poll_hold_rank(Order::Release { step }, now),
            Phase::Preparing => Order::Prepare { version: self.version, layout: self.layout.clone() },
            Phase::Arming { step } => Order::Arm { version: self.version, step },
            Phase::Disarming { .. } => Order::Disarm { version: self.version },
        };
        let mut orders = Vec::new();
        for (rank, progress) in self.ranks.iter_mut().enumerate() {
            if !progress.is_done && progress.send_at <= now {
                progress.send_at = now.plus_millis(RESEND_MS);
                orders.push((rank, order.clone()));
            }
        }
        orders
    }

    /// Takes the reply of a rank to an order of the current phase. Replies to orders of earlier phases are ignored.
    pub fn note_reply(&mut self, rank: usize, order: &Order, reply: OrderReply, now: Timestamp) {
        match (self.phase, order) {
            (Phase::Preparing, Order::Prepare { .. }) => self.note_prepared(rank, reply),
            (Phase::Holding { step }, Order::Hold { step: held }) if step == *held => {
                self.note_held(step, reply, now)
            }
            (Phase::Arming { step }, Order::Arm { step: armed, .. }) if step == *armed => {
                self.note_armed(rank, step, reply);
            }
            (Phase::Releasing { step, switched }, Order::Release { .. })
                if reply != OrderReply::Unanswered =>
            {
                let end = if switched {
                    SwitchOutcome::Switched { step }
                } else {
                    SwitchOutcome::Aborted("taken back")
                };
                self.phase = Phase::Ended(end);
            }
            (Phase::Disarming { .. }, Order::Disarm { .. }) if reply != OrderReply::Unanswered => {
                self.ranks[rank].is_done = true;
            }
            _ => {}
        }
        self.advance(now);
    }

    /// Takes what a rank says of itself, which settles orders whose replies were lost.
    pub fn note_state(&mut self, rank: usize, state: &RankState, now: Timestamp) {
        self.last_step = self.last_step.max(state.step);
        match self.phase {
            Phase::Preparing | Phase::Confirming if state.prepared == Some(self.version) => {
                self.ranks[rank].is_done = true;
            }
            Phase::Holding { step } if rank == self.hold_rank && state.held == Some(step) => {
                self.start_phase(Phase::Verifying { step });
            }
            Phase::Verifying { step } => self.verify(rank, step, state),
            Phase::Arming { step } if is_armed(state, self.version, step) => self.ranks[rank].is_done = true,
            _ => {}
        }
        self.advance(now);
    }

    /// Notes that a step has probably begun.
    pub fn note_step(&mut self, step: u64) {
        self.last_step = self.last_step.max(step);
    }

    /// Returns whether a reply is missing, so that the states of the ranks should be asked for.
    pub fn needs_states(&self) -> bool {
        let missing = self.ranks.iter().any(|progress| !progress.is_done && progress.conflicts > 0);
        match self.phase {
            Phase::Confirming | Phase::Verifying { .. } => true,
            Phase::Preparing | Phase::Arming { .. } => missing,
            _ => false,
        }
    }

    /// Notes that a rank did not tell its state.
    ///
    /// Between hold and arm this ends the switch: an arm order to a rank that cannot be asked could not be taken back, and the
    /// group would stay held until the rank answers again.
    pub fn note_unreachable(&mut self, rank: usize) {
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
        let progress = &mut self.ranks[self.hold_rank];
        if progress.send_at > now {
            return Vec::new();
        }
        progress.send_at = now.plus_millis(RESEND_MS);
        vec![(self.hold_rank, order)]
    }

    fn note_prepared(&mut self, rank: usize, reply: OrderReply) {
        match reply {
            OrderReply::Accepted => self.ranks[rank].is_done = true,
            OrderReply::Conflict => self.ranks[rank].conflicts += 1,
            OrderReply::Unanswered => {}
        }
    }

    fn note_held(&mut self, step: u64, reply: OrderReply, now: Timestamp) {
        match reply {
            OrderReply::Accepted => self.start_phase(Phase::Verifying { step }),
            OrderReply::Conflict if self.hold_tries >= MAX_HOLD_STEPS => {
                self.phase = Phase::Ended(SwitchOutcome::Aborted("no step could be held"));
            }
            OrderReply::Conflict => {
                self.last_step = self.last_step.max(step);
                self.start_holding();
                self.ranks[self.hold_rank].send_at = now;
            }
            OrderReply::Unanswered => {}
        }
    }

    fn note_armed(&mut self, rank: usize, step: u64, reply: OrderReply) {
        let progress = &mut self.ranks[rank];
        match reply {
            OrderReply::Accepted => progress.is_done = true,
            OrderReply::Unanswered => progress.is_done = !is_mechanism_enabled("arm-acknowledged"),
            OrderReply::Conflict => {
                progress.conflicts += 1;
                if progress.conflicts >= MAX_ARM_CONFLICTS {
                    self.start_phase(Phase::Disarming { step });
                }
            }
        }
    }

    /// Moves on when every rank is done with the phase.
    fn advance(&mut self, now: Timestamp) {
        let all_done = self.ranks.iter().all(|progress| progress.is_done);
        match self.phase {
            Phase::Preparing if all_done && now >= self.timing.copies_done_at => {
                self.start_phase(Phase::Confirming)
            }
            // A rank whose order was repeated is ready later than the others.
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
            Phase::Disarming { step } if all_done => {
                self.start_phase(Phase::Releasing { step, switched: false });
            }
            _ => {}
        }
    }

    fn start_holding(&mut self) {
        self.hold_tries += 1;
        let step = self.last_step + self.timing.lead_steps;
        self.start_phase(Phase::Holding { step });
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
