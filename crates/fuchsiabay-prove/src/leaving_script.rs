//! Scripts in which backend servers leave and restart.

use serde::{Deserialize, Serialize};

use crate::Step;

/// The number of entry instances.
pub(crate) const ENTRIES: usize = 2;
/// The number of backend servers of the service.
pub(crate) const SERVERS: usize = 3;
/// The latest start of a randomly timed action, in milliseconds. The later steps of a rolling restart or a burst may
/// follow after it.
const SCRIPT_MS: u64 = 20_000;
/// The maximum delay until an agent learns from the instance list that it is leaving, in milliseconds.
const MAX_NOTICE_MS: u64 = 1_500;

/// An action against two entry instances and three backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum LeavingAction {
    /// A caller sends a call to an entry instance.
    Call {
        /// The entry instance.
        entry: usize,
        /// The number of tokens of the response.
        tokens: u32,
        /// Whether it is a call to a plain service, which must not run twice.
        plain: bool,
    },
    /// The platform marks a server as leaving. It restarts under the same address after its drain.
    Leave {
        /// The server.
        server: usize,
        /// The delay until its agent learns of it, in milliseconds.
        notice_ms: u64,
        /// The lag of the instance list at the entry instances, in milliseconds.
        list_ms: u64,
        /// How long the server is down, in milliseconds.
        gone_ms: u64,
    },
    /// An entry instance is drained and replaced.
    DrainEntry {
        /// The entry instance.
        entry: usize,
        /// How long the instance is down after its drain, in milliseconds.
        gone_ms: u64,
    },
    /// An agent is killed and replaced.
    Kill {
        /// The server.
        server: usize,
        /// How long the server is down, in milliseconds.
        gone_ms: u64,
    },
    /// Load reports of a draining agent arrive a second time, delayed.
    RepeatReports {
        /// The server.
        server: usize,
        /// How long reports are repeated, in milliseconds.
        ms: u64,
        /// The delay of the repeated reports, in milliseconds.
        by_ms: u64,
    },
    /// Messages between entry instances and agents are delayed.
    SlowNetwork {
        /// How long it lasts, in milliseconds.
        ms: u64,
        /// The maximum additional delay, in milliseconds.
        by_ms: u64,
    },
}

impl LeavingAction {
    /// Returns whether the action counts as a fault.
    pub(crate) fn is_fault(&self) -> bool {
        !matches!(self, Self::Call { .. })
    }

    /// Generates a random script of calls, drains and faults.
    pub(crate) fn random_script(rng: &mut fastrand::Rng) -> Vec<Step<Self>> {
        let mut steps = Vec::new();
        for _ in 0..rng.usize(5..25) {
            let at_ms = rng.u64(1_000..SCRIPT_MS);
            steps.push(Step { at_ms, action: Self::call(rng) });
        }
        for _ in 0..rng.usize(1..4) {
            let at_ms = rng.u64(1_000..SCRIPT_MS);
            match rng.u8(0..7) {
                0 => Self::rolling_restart(rng, at_ms, &mut steps),
                1 => Self::burst(rng, at_ms, &mut steps),
                2 => Self::calls_during_stop(rng, at_ms, &mut steps),
                _ => {
                    let server = rng.usize(0..SERVERS);
                    steps.push(Step { at_ms, action: Self::leave(rng, server) });
                }
            }
        }
        for _ in 0..rng.usize(0..4) {
            let at_ms = rng.u64(0..SCRIPT_MS);
            steps.push(Step { at_ms, action: Self::fault(rng) });
        }
        steps.sort_by_key(|step| step.at_ms);
        steps
    }

    /// Restarts all servers one after the other while calls arrive.
    fn rolling_restart(rng: &mut fastrand::Rng, at_ms: u64, steps: &mut Vec<Step<Self>>) {
        let pause_ms = rng.u64(2_000..8_000);
        for server in 0..SERVERS {
            let at_ms = at_ms + pause_ms * server as u64;
            let action = Self::RepeatReports { server, ms: 20_000, by_ms: rng.u64(100..6_000) };
            steps.push(Step { at_ms, action });
            steps.push(Step { at_ms, action: Self::leave(rng, server) });
        }
        for i in 0..40 {
            steps.push(Step { at_ms: at_ms + i * 400 + rng.u64(0..400), action: Self::call(rng) });
        }
    }

    /// Sends more calls than the servers have slots, and lets one server leave while calls are queued.
    fn burst(rng: &mut fastrand::Rng, at_ms: u64, steps: &mut Vec<Step<Self>>) {
        for _ in 0..rng.usize(10..30) {
            steps.push(Step { at_ms: at_ms + rng.u64(0..200), action: Self::call(rng) });
        }
        let server = rng.usize(0..SERVERS);
        steps.push(Step { at_ms: at_ms + rng.u64(100..2_000), action: Self::leave(rng, server) });
    }

    /// Sends calls that may be in transit when an idle server stops.
    fn calls_during_stop(rng: &mut fastrand::Rng, at_ms: u64, steps: &mut Vec<Step<Self>>) {
        let server = rng.usize(0..SERVERS);
        let gone_ms = rng.u64(1..3_000);
        let action = Self::Leave { server, notice_ms: 0, list_ms: 60_000, gone_ms };
        steps.push(Step { at_ms, action });
        steps.push(Step { at_ms, action: Self::SlowNetwork { ms: 1_000, by_ms: rng.u64(10..300) } });
        for _ in 0..6 {
            let action =
                Self::Call { entry: rng.usize(0..ENTRIES), tokens: rng.u32(1..60), plain: rng.bool() };
            steps.push(Step { at_ms: at_ms + rng.u64(0..100), action });
        }
    }

    fn call(rng: &mut fastrand::Rng) -> Self {
        let tokens = if rng.u8(0..4) == 0 { rng.u32(200..800) } else { rng.u32(1..60) };
        Self::Call { entry: rng.usize(0..ENTRIES), tokens, plain: rng.u8(0..4) == 0 }
    }

    fn leave(rng: &mut fastrand::Rng, server: usize) -> Self {
        // An agent that is notified by a signal learns of it immediately.
        let notice_ms = if rng.bool() { 0 } else { rng.u64(0..MAX_NOTICE_MS) };
        let list_ms = if rng.bool() { rng.u64(0..2_000) } else { 60_000 };
        Self::Leave { server, notice_ms, list_ms, gone_ms: rng.u64(1..3_000) }
    }

    fn fault(rng: &mut fastrand::Rng) -> Self {
        let server = rng.usize(0..SERVERS);
        let ms = rng.u64(200..5_000);
        match rng.u8(0..5) {
            0 => Self::Kill { server, gone_ms: ms },
            1 => Self::DrainEntry { entry: rng.usize(0..ENTRIES), gone_ms: ms },
            2 => Self::RepeatReports { server, ms, by_ms: rng.u64(100..6_000) },
            _ => Self::SlowNetwork { ms, by_ms: rng.u64(10..300) },
        }
    }
}
