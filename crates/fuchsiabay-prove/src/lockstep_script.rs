//! Scripts of faults during map switches of a group whose ranks execute the orders themselves.

use fuchsiabay_lockstep::Order;
use serde::{Deserialize, Serialize};

use crate::Step;

/// The number of ranks in the group.
pub(crate) const RANKS: usize = 5;
/// The latest start of a fault in a script, in milliseconds.
pub(crate) const SCRIPT_MS: u64 = 15_000;

/// A kind of order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// To copy experts.
    Prepare,
    /// To hold a step.
    Hold,
    /// To switch at a step.
    Arm,
    /// To revoke an arm order.
    Disarm,
    /// To release a step.
    Release,
}

impl OrderKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [Self::Prepare, Self::Hold, Self::Arm, Self::Disarm, Self::Release];

    /// Returns the kind of `order`.
    pub(crate) const fn of(order: &Order) -> Self {
        match order {
            Order::Prepare { .. } => Self::Prepare,
            Order::Hold { .. } => Self::Hold,
            Order::Arm { .. } => Self::Arm,
            Order::Disarm { .. } => Self::Disarm,
            Order::Release { .. } => Self::Release,
        }
    }
}

/// A fault of the coordinator, of the delivery of orders or of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum LockstepAction {
    /// The coordinator is killed, and another one takes over.
    Kill,
    /// The coordinator is killed and starts again, possibly before its lease has expired. It holds the lease again afterwards.
    Restart {
        /// The time from the kill to the start, in milliseconds.
        ms: u64,
    },
    /// The coordinator is frozen, and then resumes with its old state. Another one may have taken over meanwhile.
    Freeze {
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The store assigns the coordinator lease to another instance. The previous holder learns of it only when its
    /// lease expires.
    Reassign,
    /// Orders get no reply. They are executed immediately or seconds later.
    LoseReplies {
        /// How long it lasts, in milliseconds.
        ms: u64,
        /// The percentage of orders that get no reply.
        percent: u32,
    },
    /// Orders of one kind get no reply and are executed seconds later.
    DelayOrders {
        /// The kind.
        kind: OrderKind,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The group has no work and begins no step.
    Idle {
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// A rank is unreachable for state queries and orders. The group continues to run.
    HideRank {
        /// The rank.
        rank: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The group is formed again with the initial map.
    Regroup,
}

impl LockstepAction {
    /// Returns whether the action is a fault.
    pub(crate) const fn is_fault(&self) -> bool {
        !matches!(self, Self::Idle { .. })
    }

    /// Generates a random script. One in ten has no fault.
    pub(crate) fn random_script(rng: &mut fastrand::Rng) -> Vec<Step<Self>> {
        let faults = if rng.u8(0..10) == 0 { 0 } else { rng.usize(1..9) };
        let mut steps: Vec<_> =
            (0..faults).map(|_| Step { at_ms: rng.u64(0..SCRIPT_MS), action: Self::fault(rng) }).collect();
        for _ in 0..faults / 2 {
            steps.extend(Self::handover(rng));
        }
        for _ in 0..rng.usize(0..4) {
            let action = Self::Idle { ms: rng.u64(500..10_000) };
            steps.push(Step { at_ms: rng.u64(0..SCRIPT_MS), action });
        }
        steps.sort_by_key(|step| step.at_ms);
        steps
    }

    /// Generates a change of the coordinator while replies are lost. This leaves the most unfinished switches behind.
    fn handover(rng: &mut fastrand::Rng) -> [Step<Self>; 2] {
        let at_ms = rng.u64(0..SCRIPT_MS - 2_000);
        if rng.bool() {
            // The previous coordinator resumes during the first switch of its successor.
            let reply_loss = Self::LoseReplies { ms: rng.u64(1_500..3_000), percent: rng.u32(30..60) };
            let freeze = Self::Freeze { ms: rng.u64(1_700..2_400) };
            return [Step { at_ms, action: freeze }, Step { at_ms: at_ms + 1_300, action: reply_loss }];
        }
        let reply_loss = Self::LoseReplies { ms: rng.u64(1_000..6_000), percent: rng.u32(30..95) };
        let change = match rng.u8(0..4) {
            0 => Self::Kill,
            3 => Self::Restart { ms: rng.u64(300..2_000) },
            1 => Self::Freeze { ms: rng.u64(1_200..4_000) },
            _ => Self::Reassign,
        };
        let delay_ms = rng.u64(0..2_000);
        [Step { at_ms, action: reply_loss }, Step { at_ms: at_ms + delay_ms, action: change }]
    }

    fn fault(rng: &mut fastrand::Rng) -> Self {
        match rng.u8(0..8) {
            0 => Self::Kill,
            6 => Self::Reassign,
            7 => Self::DelayOrders { kind: OrderKind::ALL[rng.usize(0..5)], ms: rng.u64(100..3_000) },
            1 | 2 => Self::Freeze { ms: rng.u64(200..6_000) },
            3 => Self::LoseReplies { ms: rng.u64(500..6_000), percent: rng.u32(5..60) },
            4 => Self::HideRank { rank: rng.usize(0..RANKS), ms: rng.u64(200..3_000) },
            _ => Self::Regroup,
        }
    }
}
