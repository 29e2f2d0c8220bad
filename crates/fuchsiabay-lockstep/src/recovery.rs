//! Recovery from a hold or armed ranks that no coordinator needs any more.

use std::sync::Arc;

use fuchsiabay_base::is_mechanism_enabled;

use crate::{ArmedMap, ExpertLayout, Order, RankState, RecoveryRun};

/// A copy of the layout in use under a version of its own.
///
/// A rank has one prepared version, and never prepares a version below one that it has had. Preparing this one makes every arm
/// order for an earlier version fail, also one that is executed seconds after it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplacementLayout {
    /// The version, which is above all versions that may have been prepared.
    pub version: u64,
    /// The layout in use.
    pub layout: Arc<ExpertLayout>,
}

/// An unfinished switch, as far as the ranks show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovery {
    rank_count: usize,
    /// The held steps, each with its rank.
    held: Vec<(usize, u64)>,
    /// The rank that holds the step as well while orders are revoked. A release order of an earlier coordinator may be executed
    /// at any moment, but not at this rank.
    guard: Option<(usize, u64)>,
    /// The versions to revoke, each with its rank.
    armed: Vec<(usize, u64)>,
    /// Whether the switch is decided, so that only its hold is left over.
    is_decided: bool,
}

impl Recovery {
    /// Derives the recovery from the states of all ranks, indexed by rank. Returns `None` if no switch is unfinished.
    ///
    /// `decided_step` is the step of a switch that this coordinator has completed and that has not begun yet. The switch of
    /// another coordinator is always revoked, because its revocation may already be on the way.
    pub fn from_states(states: &[RankState], decided_step: Option<u64>) -> Option<Self> {
        let ranks = || states.iter().enumerate();
        let held: Vec<_> = ranks().filter_map(|(rank, state)| Some((rank, state.held?))).collect();
        let armed: Vec<_> = ranks().filter_map(|(rank, state)| Some((rank, state.armed?.version))).collect();
        let common = common_armed_map(states);
        let is_clean = held.is_empty() && (armed.is_empty() || common.is_some());
        if is_clean || !is_mechanism_enabled("settle-first") {
            return None;
        }
        let armed_steps = states.iter().filter_map(|state| state.armed?.step);
        let guarded_step = held.iter().map(|(_, step)| *step).chain(armed_steps).min();
        let free_rank = |rank: &usize| states[*rank].held.is_none();
        // The first rank comes last, because it holds the steps of switches.
        let guard = (1..states.len()).chain([0]).find(free_rank).zip(guarded_step);
        let is_decided = decided_step.is_some_and(|step| {
            common.is_some_and(|armed| armed.step == Some(step)) && held.iter().all(|(_, held)| *held == step)
        });
        Some(Self { rank_count: states.len(), held, guard, armed, is_decided })
    }

    /// Returns whether the last layout to which the coordinator has switched remains in force.
    pub const fn keeps_layout(&self) -> bool {
        self.is_decided
    }

    /// The recovery from a switch to `version` at `step` that was aborted while its ranks were being armed.
    pub(crate) fn from_aborted_switch(rank_count: usize, version: u64, hold_rank: usize, step: u64) -> Self {
        let armed = (0..rank_count).map(|rank| (rank, version)).collect();
        let guard = (rank_count > 1).then_some(((hold_rank + 1) % rank_count, step));
        Self { rank_count, held: vec![(hold_rank, step)], guard, armed, is_decided: false }
    }

    /// Returns the orders of the recovery in stages.
    ///
    /// Another rank holds the step before anything is revoked. No hold is released while an arm order that is still on the way
    /// could take effect, because an idle group would begin the released step seconds later, with the ranks armed in the meantime.
    /// Without `replacement`, arm orders are only revoked.
    pub fn start(&self, replacement: Option<&ReplacementLayout>) -> RecoveryRun {
        let mut held = self.held.clone();
        let mut stages = Vec::new();
        if !self.is_decided {
            let guard = self.guard.filter(|_| is_mechanism_enabled("guard-hold"));
            let replacement = replacement.filter(|_| is_mechanism_enabled("replace-before-release"));
            held.extend(guard);
            stages.push(guard.iter().map(|(rank, step)| (*rank, Order::Hold { step: *step })).collect());
            stages.push(self.disarm());
            stages.push(replacement.map_or_else(Vec::new, |replacement| self.prepare(replacement)));
        }
        stages.push(held.iter().map(|(rank, step)| (*rank, Order::Release { step: *step })).collect());
        RecoveryRun::new(stages)
    }

    fn disarm(&self) -> Vec<(usize, Order)> {
        self.armed.iter().map(|(rank, version)| (*rank, Order::Disarm { version: *version })).collect()
    }

    fn prepare(&self, replacement: &ReplacementLayout) -> Vec<(usize, Order)> {
        let order = Order::Prepare { version: replacement.version, layout: replacement.layout.clone() };
        (0..self.rank_count).map(|rank| (rank, order.clone())).collect()
    }
}

/// Returns the map that every rank is armed with.
fn common_armed_map(states: &[RankState]) -> Option<ArmedMap> {
    let first = states.first()?.armed?;
    states.iter().all(|state| state.armed == Some(first)).then_some(first)
}
