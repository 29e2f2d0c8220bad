//! Scripts of configuration changes and faults.

use serde::{Deserialize, Serialize};

use crate::Step;

/// The number of entry instances: three in each of three availability zones.
pub(crate) const ENTRIES: usize = 9;
/// The number of processes: the entry instances and one agent in each zone.
pub(crate) const PROCESSES: usize = 12;
/// The number of zones that may be cut off from the log. One zone can always reach it, because a fleet that is cut off
/// as a whole cannot distinguish this from an outage of the log.
const CUT_ZONES: usize = 2;
/// Outages of the log up to this length must not stop any process from serving. It is shorter than the retention minus
/// two snapshot intervals.
pub(crate) const SHORT_OUTAGE_MS: u64 = 8_000;
/// The upper limit of an outage of the log, which is longer than the retention.
const LONG_OUTAGE_MS: u64 = 25_000;
/// Patterns and faults begin before this time, in milliseconds after the start of the case.
const SCRIPT_MS: u64 = 40_000;

/// An action against the processes and their log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum ConfigAction {
    /// An operator reads the current version and publishes a document that is based on it.
    Publish {
        /// The number that distinguishes the document. Zero makes the document invalid.
        mark: u32,
        /// How long the record takes to reach the log, in milliseconds.
        takes_ms: u64,
    },
    /// An operator reads the current version and switches the preset.
    Switch {
        /// The preset.
        preset: String,
        /// How long the record takes to reach the log, in milliseconds.
        takes_ms: u64,
    },
    /// A process is killed and replaced.
    Kill {
        /// The process.
        process: usize,
        /// How long it is down, in milliseconds.
        ms: u64,
    },
    /// A process is frozen.
    Freeze {
        /// The process.
        process: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// A process cannot reach the log.
    CutLog {
        /// The process.
        process: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// A process cannot reach the other processes.
    CutPeers {
        /// The process.
        process: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// A zone cannot reach the log and the other zones.
    Partition {
        /// The zone.
        zone: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The messages of a process are delayed.
    Delay {
        /// The process.
        process: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
        /// The maximum delay, in milliseconds.
        by_ms: u64,
    },
    /// The log is down.
    LogOutage {
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The acknowledgements of the operators' appends are lost; the records are appended.
    LoseAnswers {
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// A process takes a snapshot, and it reaches the log late.
    LateSnapshot {
        /// The process.
        process: usize,
        /// The delay, in milliseconds.
        by_ms: u64,
    },
}

impl ConfigAction {
    /// Returns whether the action is a fault.
    pub(crate) fn is_fault(&self) -> bool {
        !matches!(self, Self::Publish { .. } | Self::Switch { .. })
    }

    /// Returns how long the action lasts.
    pub(crate) fn duration_ms(&self) -> u64 {
        match self {
            Self::Publish { takes_ms: ms, .. }
            | Self::Switch { takes_ms: ms, .. }
            | Self::Kill { ms, .. }
            | Self::Freeze { ms, .. }
            | Self::CutLog { ms, .. }
            | Self::CutPeers { ms, .. }
            | Self::Partition { ms, .. }
            | Self::Delay { ms, .. }
            | Self::LogOutage { ms }
            | Self::LoseAnswers { ms }
            | Self::LateSnapshot { by_ms: ms, .. } => *ms,
        }
    }

    /// Generates a random script. One in ten has no fault, and one in ten has only outages of the log.
    pub(crate) fn random_script(rng: &mut fastrand::Rng) -> Vec<Step<Self>> {
        let mut steps = vec![Step { at_ms: 500, action: Self::Publish { mark: 1, takes_ms: 20 } }];
        let kind = rng.u8(0..10);
        for i in 0..rng.u32(2..8) {
            let at_ms = rng.u64(2_000..SCRIPT_MS);
            steps.push(Step { at_ms, action: Self::change(rng, i + 2) });
            // Another operator makes a change at nearly the same time.
            if rng.bool() {
                let action = Self::change(rng, i + 100);
                steps.push(Step { at_ms: at_ms + rng.u64(0..100), action });
            }
        }
        let faults = match kind {
            0 => 0,
            1 => rng.usize(1..3),
            _ => rng.usize(1..7),
        };
        for _ in 0..faults {
            let at_ms = rng.u64(3_000..SCRIPT_MS);
            let action = if kind == 1 { Self::outage(rng, SHORT_OUTAGE_MS) } else { Self::fault(rng) };
            steps.push(Step { at_ms, action });
        }
        if kind > 1 {
            match rng.u8(0..6) {
                0 => Self::unread_change(rng, &mut steps),
                1 => Self::overtaken_replies(rng, &mut steps),
                _ => {}
            }
        }
        steps.sort_by_key(|step| step.at_ms);
        steps
    }

    /// The log goes down right after a change is appended, for longer than its retention.
    fn unread_change(rng: &mut fastrand::Rng, steps: &mut Vec<Step<Self>>) {
        let at_ms = rng.u64(3_000..SCRIPT_MS);
        steps.push(Step { at_ms, action: Self::Publish { mark: 200, takes_ms: 10 } });
        let ms = rng.u64(LONG_OUTAGE_MS - 4_000..LONG_OUTAGE_MS);
        steps.push(Step { at_ms: at_ms + rng.u64(11..40), action: Self::LogOutage { ms } });
    }

    /// Changes follow each other quickly while the replies to a process overtake each other.
    fn overtaken_replies(rng: &mut fastrand::Rng, steps: &mut Vec<Step<Self>>) {
        let at_ms = rng.u64(3_000..SCRIPT_MS);
        for process in 0..PROCESSES {
            steps.push(Step { at_ms, action: Self::Delay { process, ms: 8_000, by_ms: 700 } });
        }
        for i in 0..20 {
            let at_ms = at_ms + u64::from(i) * 400;
            steps.push(Step { at_ms, action: Self::Publish { mark: 300 + i, takes_ms: 10 } });
        }
    }

    fn change(rng: &mut fastrand::Rng, mark: u32) -> Self {
        let takes_ms = rng.u64(5..400);
        if rng.bool() {
            let mark = if rng.u8(0..8) == 0 { 0 } else { mark };
            return Self::Publish { mark, takes_ms };
        }
        let preset = ["ordinary", "peak", "peak", "night"][rng.usize(0..4)].to_owned();
        Self::Switch { preset, takes_ms }
    }

    fn outage(rng: &mut fastrand::Rng, max_ms: u64) -> Self {
        Self::LogOutage { ms: rng.u64(500..max_ms) }
    }

    fn fault(rng: &mut fastrand::Rng) -> Self {
        let process = rng.usize(0..PROCESSES);
        let ms = rng.u64(300..15_000);
        // An entry instance in one of the zones that may be cut off from the log.
        let cut_off = rng.usize(0..CUT_ZONES * ENTRIES / 3);
        match rng.u8(0..10) {
            0 => Self::Kill { process: cut_off, ms },
            1 => Self::Freeze { process, ms },
            2 => Self::CutLog { process: cut_off, ms },
            3 => Self::CutPeers { process, ms },
            4 | 5 => Self::Partition { zone: rng.usize(0..CUT_ZONES), ms },
            6 => Self::Delay { process, ms, by_ms: rng.u64(100..3_000) },
            7 => Self::outage(rng, LONG_OUTAGE_MS),
            8 => Self::LoseAnswers { ms },
            _ => Self::LateSnapshot { process: rng.usize(0..ENTRIES), by_ms: rng.u64(1_000..30_000) },
        }
    }
}
