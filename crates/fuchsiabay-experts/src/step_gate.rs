//! The step gate of the agent beside one backend server of a group.

use fuchsiabay_base::{WriterId, is_mechanism_enabled};

use crate::{MapLedger, MapRecord, MapVersion, SwitchId};

/// Permits the ranks of one backend server to run steps up to `through` with `map`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The generation of the group, which serves as a fencing token for engines that check it.
    pub generation: u64,
    /// The map that the steps use.
    pub map: MapVersion,
    /// The last permitted step.
    pub through: u64,
}

/// Grants step permits, and only for steps whose map is known.
///
/// A gate grants nothing until the current generation names its incarnation, because an earlier incarnation of the
/// same agent may have voted. While the log is unavailable, the gate keeps granting permits under the map it knows,
/// up to the hold step of a switch that it has read: no other switch can be committed without its own vote.
#[derive(Clone, Debug)]
pub struct StepGate {
    writer: WriterId,
    permitted_through: Option<u64>,
    voted: Option<SwitchId>,
    loaded: Option<MapVersion>,
}

impl StepGate {
    /// Returns the gate of one incarnation of an agent.
    pub fn new(writer: WriterId) -> Self {
        Self { writer, permitted_through: None, voted: None, loaded: None }
    }

    /// Assumes that an earlier incarnation of the agent permitted the steps up to `step`. A new incarnation must call
    /// this with the last step that its server ran plus the look-ahead of permits. Otherwise it could vote for a hold
    /// step that ranks already run under the old map.
    pub fn assume_permitted_through(&mut self, step: u64) {
        self.permitted_through = self.permitted_through.max(Some(step));
    }

    /// Returns the last step that was permitted.
    pub fn permitted_through(&self) -> Option<u64> {
        self.permitted_through
    }

    /// Records that the weights of `map` are loaded in addition to those in use. A vote requires this, so that a
    /// committed switch never waits for the weight store.
    pub fn record_weights_loaded(&mut self, map: MapVersion) {
        self.loaded = Some(map);
    }

    /// Returns a permit for at most `ahead` steps from `next_step` on, or `None` if the group must hold.
    pub fn permit(&mut self, ledger: &MapLedger, next_step: u64, ahead: u64) -> Option<Permit> {
        if !self.is_member(ledger) || ahead == 0 {
            return None;
        }
        let (map, end) = ledger.map_at_step(next_step)?;
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

    /// Returns the vote to append, if one is due. Appending it more than once is harmless.
    pub fn vote(&mut self, ledger: &MapLedger) -> Option<MapRecord> {
        let pending = ledger.pending()?;
        if !self.is_member(ledger) || self.loaded != Some(pending.map) || pending.votes.contains(&self.writer)
        {
            return None;
        }
        if self.permitted_through >= Some(pending.hold_step) {
            return None;
        }
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
