//! Scripts of orders to one engine.

use fuchsiabay_fencing::OrderKind;
use serde::{Deserialize, Serialize};

use crate::Step;

/// The latest start of a randomly timed action, in milliseconds.
const SCRIPT_MS: u64 = 15_000;

/// An action against one engine and its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum OrderAction {
    /// An operator appends an order.
    Order {
        /// The kind of the order.
        kind: OrderKind,
        /// The time until the deadline of the order, in milliseconds.
        valid_ms: u64,
    },
    /// The agent is killed and replaced.
    KillAgent {
        /// How long the agent is down, in milliseconds.
        ms: u64,
    },
    /// The agent is frozen.
    Freeze {
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The agent reads old records again, and delayed pages arrive out of order.
    RepeatPages {
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The engine restarts and loses its values.
    RestartEngine,
    /// The engine does not receive orders, or its replies are lost.
    LoseAnswers {
        /// How long it lasts, in milliseconds.
        ms: u64,
        /// Whether the orders take effect.
        applied: bool,
    },
    /// The log is down.
    LogOutage {
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
}

impl OrderAction {
    /// Returns whether the action is a fault.
    pub(crate) fn is_fault(&self) -> bool {
        !matches!(self, Self::Order { .. })
    }

    /// Generates a random script. One in ten has no fault.
    pub(crate) fn random_script(rng: &mut fastrand::Rng) -> Vec<Step<Self>> {
        let faults = if rng.u8(0..10) == 0 { 0 } else { rng.usize(1..8) };
        let mut steps = Vec::new();
        for _ in 0..rng.usize(2..12) {
            let kind = [OrderKind::LoadModel, OrderKind::SetRole][rng.usize(0..2)];
            let valid_ms = if rng.bool() { 100_000 } else { rng.u64(100..4_000) };
            steps.push(Step { at_ms: rng.u64(0..SCRIPT_MS), action: Self::Order { kind, valid_ms } });
        }
        for _ in 0..faults {
            steps.push(Step { at_ms: rng.u64(0..SCRIPT_MS), action: Self::fault(rng) });
        }
        if faults > 0 && rng.u8(0..3) == 0 {
            // The last order is lost in transit, and no other order follows.
            let at_ms = SCRIPT_MS;
            steps.push(Step { at_ms, action: Self::LoseAnswers { ms: 800, applied: false } });
            let action = Self::Order { kind: OrderKind::LoadAdapter, valid_ms: 100_000 };
            steps.push(Step { at_ms: at_ms + 50, action });
        }
        steps.sort_by_key(|step| step.at_ms);
        steps
    }

    fn fault(rng: &mut fastrand::Rng) -> Self {
        let ms = rng.u64(50..5_000);
        match rng.u8(0..6) {
            0 => Self::KillAgent { ms },
            1 => Self::Freeze { ms },
            2 => Self::RepeatPages { ms },
            3 => Self::RestartEngine,
            4 => Self::LoseAnswers { ms, applied: rng.bool() },
            _ => Self::LogOutage { ms },
        }
    }
}
