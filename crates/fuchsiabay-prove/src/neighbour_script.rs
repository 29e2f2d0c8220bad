//! Scripts of changes and faults for entry instances, two of which read the store.

use serde::{Deserialize, Serialize};

use crate::Step;

/// The number of entry instances.
pub(crate) const INSTANCES: usize = 5;
/// The number of backend servers.
pub(crate) const SERVERS: usize = 4;
/// The latest start of an action in a script, in milliseconds.
pub(crate) const SCRIPT_MS: u64 = 20_000;

/// A change in the store, or a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum NeighbourAction {
    /// A new version of the configuration is written.
    Publish,
    /// A server announces that it is draining.
    Drain {
        /// The server.
        server: usize,
    },
    /// A server's entry is removed.
    Remove {
        /// The server.
        server: usize,
    },
    /// A server's entry is listed again.
    Return {
        /// The server.
        server: usize,
        /// Whether the server has restarted.
        anew: bool,
    },
    /// The store does not respond to an instance.
    TurnAway {
        /// The instance.
        instance: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The store responds to no instance.
    StoreOutage {
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The store is down and returns from a copy.
    Restore {
        /// The age of the copy, in milliseconds.
        age_ms: u64,
        /// How long the store is down, in milliseconds.
        ms: u64,
        /// The time within which the operator and the servers write again what was lost, in milliseconds.
        rewrite_ms: u64,
    },
    /// An instance is killed and restarts without state.
    Kill {
        /// The instance.
        instance: usize,
        /// How long the instance is down, in milliseconds.
        ms: u64,
    },
    /// An instance is frozen.
    Freeze {
        /// The instance.
        instance: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// Calls between instances get no reply.
    LoseCalls {
        /// How long it lasts, in milliseconds.
        ms: u64,
        /// The percentage of calls that get no reply.
        percent: u32,
    },
}

impl NeighbourAction {
    /// Returns whether the action is a fault.
    pub(crate) fn is_fault(&self) -> bool {
        !matches!(self, Self::Publish | Self::Drain { .. } | Self::Remove { .. } | Self::Return { .. })
    }

    /// Generates a random script. One in ten has no fault.
    pub(crate) fn random_script(rng: &mut fastrand::Rng) -> Vec<Step<Self>> {
        let faults = if rng.u8(0..10) == 0 { 0 } else { rng.usize(1..8) };
        let mut steps = Vec::new();
        for _ in 0..rng.usize(4..16) {
            steps.push(Step { at_ms: rng.u64(0..SCRIPT_MS), action: Self::change(rng) });
        }
        for _ in 0..faults {
            steps.push(Step { at_ms: rng.u64(0..SCRIPT_MS), action: Self::fault(rng) });
        }
        steps.sort_by_key(|step| step.at_ms);
        steps
    }

    fn change(rng: &mut fastrand::Rng) -> Self {
        let server = rng.usize(0..SERVERS);
        match rng.u8(0..6) {
            0 | 1 => Self::Publish,
            2 => Self::Drain { server },
            3 => Self::Remove { server },
            _ => Self::Return { server, anew: rng.bool() },
        }
    }

    fn fault(rng: &mut fastrand::Rng) -> Self {
        let ms = rng.u64(300..6_000);
        let instance = rng.usize(0..INSTANCES);
        match rng.u8(0..10) {
            8 | 9 => Self::Restore {
                age_ms: rng.u64(500..12_000),
                ms: rng.u64(0..2_500),
                rewrite_ms: rng.u64(0..1_500),
            },
            0..=2 => Self::TurnAway { instance, ms },
            3 => Self::StoreOutage { ms },
            4 | 5 => Self::Kill { instance, ms },
            6 => Self::Freeze { instance, ms },
            _ => Self::LoseCalls { ms, percent: rng.u32(20..100) },
        }
    }
}
