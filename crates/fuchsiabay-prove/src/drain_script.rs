//! Scripts in which agents are drained for maintenance.

use serde::{Deserialize, Serialize};

use crate::Step;

/// The number of agents of the service. The last one never leaves.
pub(crate) const AGENTS: usize = 3;
/// The latest start of an action in a script, in milliseconds.
const SCRIPT_MS: u64 = 15_000;

/// An action against three agents.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum DrainAction {
    /// A caller sends a call that is not idempotent.
    Call {
        /// How long a server takes to run it, in milliseconds.
        runs_ms: u64,
    },
    /// An agent is told to leave, and restarts later.
    Leave {
        /// The agent.
        agent: usize,
        /// How long the agent is down after its last call has ended, in milliseconds.
        ms: u64,
    },
    /// An agent is killed and replaced.
    Kill {
        /// The agent.
        agent: usize,
        /// How long the agent is down, in milliseconds.
        ms: u64,
    },
    /// The backend server of an agent crashes.
    Crash {
        /// The agent.
        agent: usize,
        /// How long the backend server is down, in milliseconds.
        ms: u64,
    },
}

impl DrainAction {
    /// Returns whether the action may interrupt running calls. `Leave` does not.
    pub(crate) fn interrupts_calls(&self) -> bool {
        matches!(self, Self::Kill { .. } | Self::Crash { .. })
    }

    /// Returns whether the action counts as a fault.
    pub(crate) fn is_fault(&self) -> bool {
        !matches!(self, Self::Call { .. })
    }

    /// Generates a random script. In half of the scripts agents only leave, so that no call may fail.
    pub(crate) fn random_script(rng: &mut fastrand::Rng) -> Vec<Step<Self>> {
        let mut steps = Vec::new();
        for _ in 0..rng.usize(10..80) {
            let action = Self::Call { runs_ms: rng.u64(10..2_000) };
            steps.push(Step { at_ms: rng.u64(0..SCRIPT_MS), action });
        }
        for _ in 0..rng.usize(1..5) {
            let action = Self::Leave { agent: rng.usize(0..AGENTS - 1), ms: rng.u64(100..3_000) };
            steps.push(Step { at_ms: rng.u64(0..SCRIPT_MS), action });
        }
        if rng.bool() {
            for _ in 0..rng.usize(1..4) {
                let (agent, ms) = (rng.usize(0..AGENTS), rng.u64(50..3_000));
                let action = if rng.bool() { Self::Kill { agent, ms } } else { Self::Crash { agent, ms } };
                steps.push(Step { at_ms: rng.u64(0..SCRIPT_MS), action });
            }
        }
        steps.sort_by_key(|step| step.at_ms);
        steps
    }
}
