//! The step gate of the agent beside one backend server of a group.

use fuchsiabay_base::{WriterId, invariant, is_mechanism_enabled};

use crate::{MapLedger, MapRecord, MapVersion, SwitchId};

/// Allows the ranks of one backend server to run the steps up to `through` under `map`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The generation, which engines that check fencing numbers compare.
    pub generation: u64,
    /// The map.
    pub map: MapVersion,
    /// The last permitted step.
    pub through: u64,
}

/// Grants step permits. What it does not know, it does not permit.
///
/// A gate permits nothing until it is named by the generation in force, because an earlier life of the same agent may
/// have voted. While the log is unavailable it goes on under the map it knows, up to the hold step of a switch that it
/// has read: without its own vote no other switch can be committed.
#[derive(Clone, Debug)]
pub struct StepGate {
    writer: WriterId,
    permitted_through: Option<u64>,
    voted: Option<SwitchId>,
    loaded: Option<MapVersion>,
}

impl StepGate {
    /// Returns the gate of one life of an agent.
    pub fn new(writer: WriterId) -> Self {
        Self { writer, permitted_through: None, voted: None, loaded: None }
    }

    /// Assumes that a former life of the agent permitted the steps up to `step`. A new life must call it with the last
    /// step that its server ran plus the look-ahead of permits, because it would otherwise vote for a hold step that
    /// ranks already run under the old map.
    pub fn assume_permitted_through(&mut self, step: u64) {
        self.permitted_through = self.permitted_through.max(Some(step));
    }

    /// Returns the last step that was permitted.
    pub fn permitted_through(&self) -> Option<u64> {
        self.permitted_through
    }

    /// Notes that the weights of `map` are loaded beside those in use. A vote requires it, so that a committed switch
    /// never waits for the weight store.
    pub fn note_weights_loaded(&mut self, map: MapVersion) {
        self.loaded = Some(map);
    }

    /// Returns the permit for `next_step` and at most `ahead` steps, or `None` when the group must hold.
    pub fn permit(&mut self, ledger: &MapLedger, next_step: u64, ahead: u64) -> Option<Permit> {
        if !self.is_member(ledger) || ahead == 0 {
            return None;
        }
        let (map, end) = ledger.map_of(next_step)?;
        let mut through = next_step.saturating_add(ahead - 1);
        if let Some(end) = end {
            through = through.min(end - 1);
        }
        if let Some(pending) = ledger.pending()
            && is_mechanism_enabled("hold-step")
        {
            if next_step >= pending.hold_step {
                return None;
            }
            through = through.min(pending.hold_step - 1);
        }
        self.permitted_through = self.permitted_through.max(Some(through));
        Some(Permit { generation: ledger.generation(), map, through })
    }

    /// Returns the vote to append, if one is due. It is safe to append it again.
    pub fn vote(&mut self, ledger: &MapLedger) -> Option<MapRecord> {
        let pending = ledger.pending()?;
        if !self.is_member(ledger) || self.loaded != Some(pending.map) || pending.votes.contains(&self.writer)
        {
            return None;
        }
        if self.permitted_through >= Some(pending.hold_step) {
            return None;
        }
        invariant!(
            "vote-promises-the-future",
            self.permitted_through.is_none_or(|through| through < pending.hold_step),
            "vote for a switch at step {} after step {:?} was permitted",
            pending.hold_step,
            self.permitted_through
        );
        self.voted = Some(pending.switch);
        Some(MapRecord::Vote {
            switch: pending.switch,
            generation: ledger.generation(),
            writer: self.writer.clone(),
        })
    }

    /// Returns the last switch that this gate voted for.
    pub fn voted(&self) -> Option<SwitchId> {
        self.voted
    }

    fn is_member(&self, ledger: &MapLedger) -> bool {
        ledger.is_complete() && ledger.ranks().values().any(|member| *member == self.writer)
    }
}
