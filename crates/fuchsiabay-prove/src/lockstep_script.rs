//! Scripts of faults while coordinators switch a group whose ranks take the orders themselves.

use serde::{Deserialize, Serialize};

use crate::Step;

/// Ranks of the group.
pub(crate) const RANKS: usize = 5;
/// When the last action of a script may begin, in milliseconds.
pub(crate) const SCRIPT_MS: u64 = 15_000;

/// A fault of the coordinator, of the orders or of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum LockstepAction {
    /// The coordinator dies. Another one takes over.
    Kill,
    /// The coordinator is paused, and goes on where it was. Another one may have taken over meanwhile.
    Freeze {
        /// How long.
        ms: u64,
    },
    /// The store gives the duty to another instance, and the one that had it hears of it only when its lease is over.
    Reassign,
    /// Orders get no reply. They are carried out at once or seconds later.
    LoseReplies {
        /// How long.
        ms: u64,
        /// The share of the orders, in percent.
        percent: u32,
    },
    /// A rank can neither be asked nor given orders. The group goes on.
    HideRank {
        /// The rank.
        rank: usize,
        /// How long.
        ms: u64,
    },
    /// The group is formed anew, under the first map.
    Regroup,
}

impl LockstepAction {
    /// Returns whether the action is a fault.
    pub(crate) const fn is_fault(&self) -> bool {
        true
    }

    /// Draws a script. One in ten has no fault.
    pub(crate) fn random_script(rng: &mut fastrand::Rng) -> Vec<Step<Self>> {
        let faults = if rng.u8(0..10) == 0 { 0 } else { rng.usize(1..9) };
        let mut steps: Vec<_> =
            (0..faults).map(|_| Step { at_ms: rng.u64(0..SCRIPT_MS), action: Self::fault(rng) }).collect();
        for _ in 0..faults / 2 {
            steps.extend(Self::handover(rng));
        }
        steps.sort_by_key(|step| step.at_ms);
        steps
    }

    /// Draws a change of the coordinator while orders are lost, which leaves most behind.
    fn handover(rng: &mut fastrand::Rng) -> [Step<Self>; 2] {
        let at_ms = rng.u64(0..SCRIPT_MS - 2_000);
        if rng.bool() {
            // The former coordinator wakes up in the first switch of the next one.
            let lost = Self::LoseReplies { ms: rng.u64(1_500..3_000), percent: rng.u32(30..60) };
            let frozen = Self::Freeze { ms: rng.u64(1_700..2_400) };
            return [Step { at_ms, action: frozen }, Step { at_ms: at_ms + 1_300, action: lost }];
        }
        let lost = Self::LoseReplies { ms: rng.u64(1_000..6_000), percent: rng.u32(30..95) };
        let passed_on = match rng.u8(0..3) {
            0 => Self::Kill,
            1 => Self::Freeze { ms: rng.u64(1_200..4_000) },
            _ => Self::Reassign,
        };
        let later_ms = rng.u64(0..2_000);
        [Step { at_ms, action: lost }, Step { at_ms: at_ms + later_ms, action: passed_on }]
    }

    fn fault(rng: &mut fastrand::Rng) -> Self {
        match rng.u8(0..7) {
            0 => Self::Kill,
            6 => Self::Reassign,
            1 | 2 => Self::Freeze { ms: rng.u64(200..6_000) },
            3 => Self::LoseReplies { ms: rng.u64(500..6_000), percent: rng.u32(5..60) },
            4 => Self::HideRank { rank: rng.usize(0..RANKS), ms: rng.u64(200..3_000) },
            _ => Self::Regroup,
        }
    }
}
