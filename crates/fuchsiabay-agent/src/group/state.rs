//! What one agent knows of its group, and what follows from it.

use std::sync::Arc;

use fuchsiabay_base::{Timestamp, WriterId};
use fuchsiabay_experts::{ExpertMap, Lookahead, MapLedger, MapRecord, MapVersion, Proposer, Rank, StepGate};
use fuchsiabay_settings::GroupSettings;
use serde_json::{Value, json};

use super::planning::Planning;
use crate::backend::{GroupLoad, GroupView, PermitCall};

/// The age of the last exchange with the log beyond which nothing is permitted, in milliseconds. An agent that was
/// paused finds it older and looks at the log first. While the log is down, each failed read counts as an exchange.
const EXCHANGE_AGE_MS: u64 = 3_000;

/// What one agent knows of its group.
#[derive(Debug)]
pub(crate) struct GroupState {
    own: (u16, u16),
    lookahead: Lookahead,
    /// None before the first page.
    ledger: Option<MapLedger>,
    gate: StepGate,
    proposer: Proposer,
    planning: Planning,
    planned: Option<Arc<ExpertMap>>,
    /// The map whose weights are loading.
    loading: Option<MapVersion>,
    loaded: Option<MapVersion>,
    /// Whether the engine is known to hold the weights of the map in force. A new life and a restarted engine do not.
    has_weights: bool,
    /// The last step that the group ran. None before the first look, before which nothing is permitted or proposed.
    step: Option<u64>,
    /// The last generation under which the engine accepted a permit.
    accepted: Option<u64>,
    /// The last generation that the engine was then seen to have adopted. A vote needs it: before, a former life that
    /// cannot read the log may still permit steps, and afterwards it sees that it was replaced.
    confirmed: Option<u64>,
    log_up: bool,
    exchanged_at: Option<Timestamp>,
}

impl GroupState {
    pub(crate) fn new(writer: WriterId, settings: &GroupSettings, now: Timestamp) -> Self {
        let ranks = (settings.rank..settings.rank + settings.ranks).map(Rank).collect();
        let lookahead = Lookahead::from_step_us(settings.step_us);
        Self {
            own: (settings.rank, settings.ranks),
            lookahead,
            ledger: None,
            gate: StepGate::new(writer.clone()),
            proposer: Proposer::new(writer, ranks, settings.group_ranks.into(), lookahead, now),
            planning: Planning::new(settings, now),
            planned: None,
            loading: None,
            loaded: None,
            has_weights: false,
            step: None,
            accepted: None,
            confirmed: None,
            log_up: false,
            exchanged_at: None,
        }
    }

    /// Returns the offset from which on the log must be read.
    pub(crate) fn next_offset(&self) -> u64 {
        self.ledger.as_ref().map_or(0, MapLedger::next_offset)
    }

    /// Takes a page. A record that is none of this stream's is passed over.
    pub(crate) fn page(&mut self, now: Timestamp, first: u64, records: &[(u64, Option<MapRecord>)]) {
        self.log_up = true;
        self.exchanged_at = Some(now);
        let ledger = self.ledger.get_or_insert_with(|| MapLedger::starting_at(first));
        ledger.note_first_retained(first);
        for (offset, record) in records {
            let Some(record) = record else {
                log::warn!("group: the record at offset {offset} is not understood");
                ledger.skip(*offset);
                continue;
            };
            if ledger.apply(*offset, record) {
                log_record(*offset, record, ledger);
            }
            if matches!(record, MapRecord::Snapshot { .. }) {
                self.proposer.note_snapshot(now);
            }
        }
        self.proposer.observe(now, ledger);
    }

    /// Notes that the log could not be read.
    pub(crate) fn log_unavailable(&mut self, now: Timestamp) {
        self.log_up = false;
        self.exchanged_at = Some(now);
    }

    /// Returns whether records may be appended. They follow from what was just read.
    pub(crate) fn may_append(&self) -> bool {
        self.log_up && self.step.is_some()
    }

    /// Returns whether the stream should be read again soon.
    pub(crate) fn is_busy(&self) -> bool {
        self.ledger
            .as_ref()
            .is_some_and(|ledger| ledger.pending().is_some() || !self.proposer.holds_ranks(ledger))
    }

    /// Returns the records to append.
    pub(crate) fn take_records(&mut self, now: Timestamp) -> Vec<MapRecord> {
        let (Some(ledger), Some(step)) = (&self.ledger, self.step) else {
            return Vec::new();
        };
        let may_vote = self.proposer.holds_ranks(ledger) && self.confirmed == Some(ledger.generation());
        let vote = if may_vote { self.gate.vote(ledger) } else { None };
        let due = self.proposer.propose(now, ledger);
        let proposer = &mut self.proposer;
        let switch = self.planned.take().and_then(|content| proposer.prepare(now, ledger, step, content));
        [vote, due, switch].into_iter().flatten().collect()
    }

    /// Returns whether this agent should plan the placement now.
    pub(crate) fn plan_is_due(&self, now: Timestamp) -> bool {
        let may_prepare = |ledger: &MapLedger| self.proposer.may_prepare(now, ledger);
        self.planning.is_due(now) && self.ledger.as_ref().is_some_and(may_prepare)
    }

    /// Plans the placement.
    pub(crate) fn plan(&mut self, now: Timestamp, load: &GroupLoad) {
        let current = self.ledger.as_ref().and_then(MapLedger::content);
        self.planned = self.planning.plan(now, current, load).map(Arc::new);
    }

    /// Returns the map whose weights must be loaded now: the one in force, then the proposed one.
    pub(crate) fn take_loading(&mut self) -> Option<(MapVersion, Arc<ExpertMap>)> {
        let ledger = self.ledger.as_ref()?;
        if self.loading.is_some() || !self.proposer.holds_ranks(ledger) {
            return None;
        }
        let pending = ledger.pending().map(|pending| (pending.map, &pending.content));
        let in_force = ledger.segments().last().map(|segment| segment.map).zip(ledger.content());
        let wanted = if self.has_weights { pending } else { in_force.or(pending) };
        let (map, content) = wanted.filter(|&(map, _)| self.loaded != Some(map))?;
        self.loading = Some(map);
        Some((map, Arc::clone(content)))
    }

    /// Notes that loading ended.
    pub(crate) fn loading_ended(&mut self, map: MapVersion, loaded: bool) {
        self.loading = None;
        if loaded {
            self.has_weights = true;
            self.loaded = Some(map);
            self.gate.note_weights_loaded(map);
        }
    }

    /// Returns the permit that the engine needs now.
    pub(crate) fn permit(&mut self, now: Timestamp, view: &GroupView) -> Option<PermitCall> {
        let (first, ranks) = self.own;
        let own = view.ranks.get(usize::from(first)..usize::from(first) + usize::from(ranks))?;
        let ahead = self.lookahead.permit_ahead();
        let through = |order: fn(u64, u64) -> u64| own.iter().map(|rank| rank.through_step).reduce(order);
        let (lowest, highest) = (through(u64::min)?, through(u64::max)?);
        if self.step.is_none() {
            // A permit of a former life may still be on its way to the engine.
            self.gate.assume_permitted_through(highest.max(view.step + ahead));
        }
        if self.step.is_some_and(|step| view.step < step) {
            log::warn!("group: the engine counts steps from {} again", view.step);
            (self.has_weights, self.loaded) = (false, None);
        }
        self.step = Some(view.step);
        let ledger = self.ledger.as_ref()?;
        if !self.has_weights && ledger.content().is_some() {
            return None;
        }
        let is_late = self.exchanged_at.is_none_or(|at| now.millis_since(at) > EXCHANGE_AGE_MS);
        if is_late || !self.proposer.holds_ranks(ledger) {
            return None;
        }
        // While the log cannot be read, a permit that this life did not give shows that another life was named.
        let is_foreign = !self.log_up && self.gate.permitted_through() < Some(highest);
        let generation = ledger.generation();
        if is_foreign || own.iter().any(|rank| rank.generation > Some(generation)) {
            return None;
        }
        let is_adopted = own.iter().all(|rank| rank.generation.is_none_or(|seen| seen == generation));
        if self.confirmed != Some(generation) && self.accepted == Some(generation) && is_adopted {
            // The last permit of a former life was decided before this look.
            self.gate.assume_permitted_through(view.step + ahead);
            self.confirmed = Some(generation);
        }
        if self.confirmed == Some(generation) && lowest > view.step + ahead / 2 {
            return None;
        }
        let steps = (view.step + ahead).saturating_sub(lowest);
        let permit = self.gate.permit(ledger, lowest + 1, steps)?;
        // Ranks that a former life left at different steps are brought together one at a time, because a permit starts
        // where the last one of its rank ended.
        let behind =
            (first..).zip(own).find(|(_, rank)| rank.through_step == lowest).map(|(rank, _)| rank)?;
        let (rank, ranks) = if lowest == highest { (first, ranks) } else { (behind, 1) };
        Some(PermitCall {
            rank,
            ranks,
            generation: permit.generation,
            map: permit.map,
            through_step: permit.through,
        })
    }

    /// Notes that the engine accepted a permit of `generation`.
    pub(crate) fn permit_accepted(&mut self, generation: u64) {
        self.accepted = Some(generation);
    }

    /// Returns the state for the dump.
    pub(crate) fn dump(&self) -> Value {
        let ledger = self.ledger.as_ref();
        json!({
            "ranks": { "first": self.own.0, "count": self.own.1 },
            "named": ledger.is_some_and(|ledger| self.proposer.holds_ranks(ledger)),
            "displaced": ledger.is_some_and(|ledger| self.proposer.is_displaced(ledger)),
            "complete": ledger.is_some_and(MapLedger::is_complete),
            "generation": ledger.map(MapLedger::generation),
            "members": ledger.map(MapLedger::ranks),
            "segments": ledger.map(MapLedger::segments),
            "pending": ledger.and_then(MapLedger::pending),
            "content": ledger.and_then(MapLedger::content),
            "next_offset": self.next_offset(),
            "log_up": self.log_up,
            "step": self.step,
            "permitted_through": self.gate.permitted_through(),
            "confirmed": self.confirmed,
            "voted": self.gate.voted(),
            "loading": self.loading,
            "loaded": self.loaded,
            "permit_ahead": self.lookahead.permit_ahead(),
            "hold_lead": self.lookahead.hold_lead(),
        })
    }
}

fn log_record(offset: u64, record: &MapRecord, ledger: &MapLedger) {
    match record {
        MapRecord::Generation { generation, .. } => log::info!("group: generation {generation} at {offset}"),
        MapRecord::Prepare { map, hold_step, .. } => {
            log::info!("group: switch {offset} to map {} at step {hold_step} is proposed", map.0);
        }
        MapRecord::Vote { switch, .. } if ledger.pending().is_none() => {
            log::info!("group: switch {} is committed", switch.0);
        }
        MapRecord::Abort { switch } => log::warn!("group: switch {} is aborted", switch.0),
        MapRecord::Vote { .. } | MapRecord::Snapshot { .. } => {}
    }
}
