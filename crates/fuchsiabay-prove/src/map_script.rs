//! Scripts of expert map switches.

use serde::{Deserialize, Serialize};

use crate::Step;

/// The number of ranks in the group. Each rank has its own agent.
pub(crate) const RANKS: usize = 4;
/// The maximum delay until a proposal is appended to the log, in milliseconds.
const MAX_APPEND_MS: u64 = 500;
/// The latest start of an action in a script, in milliseconds.
const SCRIPT_MS: u64 = 20_000;

/// An action against a group of four ranks.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum MapAction {
    /// A coordinator proposes a new map.
    Switch {
        /// The coordinator.
        coordinator: usize,
        /// How many steps the hold step lies ahead.
        ahead: u64,
        /// The delay until the record is appended to the log, in milliseconds.
        takes_ms: u64,
    },
    /// An agent is killed and replaced. Its rank continues to run.
    Kill {
        /// The agent.
        agent: usize,
        /// How long the agent is down, in milliseconds.
        ms: u64,
    },
    /// An agent is frozen.
    Freeze {
        /// The agent.
        agent: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// An agent cannot reach the log.
    CutLog {
        /// The agent.
        agent: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The messages of an agent are delayed.
    Delay {
        /// The agent.
        agent: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
        /// The maximum delay, in milliseconds.
        by_ms: u64,
    },
    /// A rank stalls, and so does the whole group.
    Stall {
        /// The rank.
        rank: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The log is down.
    LogOutage {
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
}

impl MapAction {
    /// Returns whether the action is a fault.
    pub(crate) fn is_fault(&self) -> bool {
        !matches!(self, Self::Switch { .. })
    }

    /// Generates a random script. One in ten has no fault.
    pub(crate) fn random_script(rng: &mut fastrand::Rng) -> Vec<Step<Self>> {
        let faults = if rng.u8(0..10) == 0 { 0 } else { rng.usize(1..8) };
        let mut steps = Vec::new();
        for _ in 0..rng.usize(2..10) {
            let action = Self::Switch {
                coordinator: rng.usize(0..2),
                ahead: rng.u64(1..100),
                takes_ms: rng.u64(1..MAX_APPEND_MS),
            };
            steps.push(Step { at_ms: rng.u64(1_000..SCRIPT_MS), action });
        }
        for _ in 0..faults {
            steps.push(Step { at_ms: rng.u64(1_000..SCRIPT_MS), action: Self::fault(rng) });
        }
        steps.sort_by_key(|step| step.at_ms);
        steps
    }

    fn fault(rng: &mut fastrand::Rng) -> Self {
        let agent = rng.usize(0..RANKS);
        let ms = rng.u64(50..5_000);
        match rng.u8(0..6) {
            0 => Self::Kill { agent, ms },
            1 => Self::Freeze { agent, ms },
            2 => Self::CutLog { agent, ms },
            3 => Self::Delay { agent, ms, by_ms: rng.u64(10..2_000) },
            4 => Self::Stall { rank: agent, ms },
            _ => Self::LogOutage { ms },
        }
    }
}
