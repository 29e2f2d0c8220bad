//! Scripts of requests that crash the servers that run them.

use serde::{Deserialize, Serialize};

use crate::Step;

/// The number of entry instances.
pub(crate) const ENTRIES: usize = 2;
/// All actions begin before this time, in milliseconds after the start of the case.
const SCRIPT_MS: u64 = 10_000;

/// An action against two entry instances and their servers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum CrashAction {
    /// A caller sends a harmless request.
    Call {
        /// The entry instance.
        entry: usize,
        /// How long a server runs the request, in milliseconds.
        runs_ms: u64,
    },
    /// A caller sends a poison request, which crashes the server that runs it, and sends it again when it fails.
    Poison {
        /// The entry instance that receives the request first.
        entry: usize,
        /// The number of the poison request. Several callers may send the same one.
        poison: u8,
        /// How often the caller sends it at most.
        times: u32,
    },
    /// An entry instance cannot reach the log.
    CutLog {
        /// The entry instance.
        entry: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The log is down.
    LogOutage {
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
}

impl CrashAction {
    /// Returns whether the action is a fault.
    pub(crate) fn is_fault(&self) -> bool {
        !matches!(self, Self::Call { .. })
    }

    /// Generates a random script of harmless requests, one or two poison requests, and outages of the log. One in ten
    /// has only harmless requests.
    pub(crate) fn random_script(rng: &mut fastrand::Rng) -> Vec<Step<Self>> {
        let mut steps = Vec::new();
        for _ in 0..rng.usize(10..60) {
            let action = Self::Call { entry: rng.usize(0..ENTRIES), runs_ms: rng.u64(10..1_500) };
            steps.push(Step { at_ms: rng.u64(0..SCRIPT_MS), action });
        }
        if rng.u8(0..10) > 0 {
            for _ in 0..rng.usize(1..4) {
                let (entry, poison, times) = (rng.usize(0..ENTRIES), rng.u8(0..2), rng.u32(1..8));
                let action = Self::Poison { entry, poison, times };
                steps.push(Step { at_ms: rng.u64(0..SCRIPT_MS), action });
            }
            for _ in 0..rng.usize(0..3) {
                let ms = rng.u64(100..5_000);
                let cut_log = Self::CutLog { entry: rng.usize(0..ENTRIES), ms };
                let action = if rng.bool() { cut_log } else { Self::LogOutage { ms } };
                steps.push(Step { at_ms: rng.u64(0..SCRIPT_MS), action });
            }
        }
        steps.sort_by_key(|step| step.at_ms);
        steps
    }
}
