//! An agent's view of its group and the decisions based on it.

use std::sync::Arc;

use fuchsiabay_base::{Timestamp, WriterId};
use fuchsiabay_experts::{ExpertMap, Lookahead, MapLedger, MapRecord, MapVersion, Proposer, Rank, StepGate};
use fuchsiabay_settings::GroupSettings;
use serde_json::{Value, json};

use super::placement_planner::PlacementPlanner;
use crate::backend::{GroupLoad, GroupView, PermitCall};

/// The maximum age of the last exchange with the log at which steps are permitted, in milliseconds. It makes an agent
/// whose process was paused read the log first. While the log is down, each failed read counts as an exchange.
const MAX_EXCHANGE_AGE_MS: u64 = 3_000;

/// The number of accepted permits in a row, without those of another incarnation between them, that show that no previous
/// incarnation permits steps, if the engine does not report generations. A previous one can miss a permit that is accepted between
/// its own read and its own permit, but hardly several in a row.
const CONFIRMING_PERMITS: u32 = 3;

/// An agent's view of its group.
#[derive(Debug)]
pub(crate) struct GroupState {
    /// The agent's first rank and its number of ranks.
    preferences: (u16, u16),
    lookahead: Lookahead,
    /// `None` until the first page has been read.
    ledger: Option<MapLedger>,
    gate: StepGate,
    proposer: Proposer,
    placement_planner: PlacementPlanner,
    /// The planned map that has not been proposed yet.
    planned_map: Option<Arc<ExpertMap>>,
    /// The map whose weights are being loaded.
    loading: Option<MapVersion>,
    /// The map whose weights were loaded last.
    loaded: Option<MapVersion>,
    /// Whether the engine is known to hold the weights of the map in force. False in a new incarnation of the agent and
    /// after a restart of the engine.
    has_weights: bool,
    /// The last step that the group ran. `None` until it has been read from the engine; until then nothing is permitted
    /// or proposed.
    step: Option<u64>,
    /// The last generation under which the engine accepted a permit.
    accepted_generation: Option<u64>,
    /// The last step through which this incarnation, or one before it, is known to have permitted steps. A permit that was decided
    /// and refused does not count: the engine refuses it because another incarnation has permitted the same steps.
    accepted_through: Option<u64>,
    /// The number of permits that the engine accepted in a row, without those of another incarnation between them.
    undisturbed_permits: u32,
    /// The last generation that the engine reported as adopted after it accepted a permit under it. An agent votes only
    /// under a confirmed generation. Until then, a previous incarnation that cannot read the log may still permit
    /// steps; afterwards, it can see that it was replaced.
    confirmed_generation: Option<u64>,
    /// Whether the last read of the log succeeded.
    log_up: bool,
    /// The time of the last exchange with the log.
    exchanged_at: Option<Timestamp>,
}

impl GroupState {
    pub(crate) fn new(writer: WriterId, settings: &GroupSettings, now: Timestamp) -> Self {
        let ranks = (settings.rank..settings.rank + settings.ranks).map(Rank).collect();
        let lookahead = Lookahead::from_step_us(settings.step_us);
        Self {
            preferences: (settings.rank, settings.ranks),
            lookahead,
            ledger: None,
            gate: StepGate::new(writer.clone()),
            proposer: Proposer::new(writer, ranks, settings.group_ranks.into(), lookahead, now),
            placement_planner: PlacementPlanner::new(settings, now),
            planned_map: None,
            loading: None,
            loaded: None,
            has_weights: false,
            step: None,
            accepted_generation: None,
            accepted_through: None,
            undisturbed_permits: 0,
            confirmed_generation: None,
            log_up: false,
            exchanged_at: None,
        }
    }

    /// Returns the offset of the next record to read.
    pub(crate) fn next_offset(&self) -> u64 {
        self.ledger.as_ref().map_or(0, MapLedger::next_offset)
    }

    /// Applies a page of records. A record that could not be parsed is skipped.
    pub(crate) fn apply_page(&mut self, now: Timestamp, first: u64, records: &[(u64, Option<MapRecord>)]) {
        self.log_up = true;
        self.exchanged_at = Some(now);
        let ledger = self.ledger.get_or_insert_with(|| MapLedger::starting_at(first));
        ledger.record_first_retained(first);
        for (offset, record) in records {
            let Some(record) = record else {
                log::warn!("group: the record at offset {offset} cannot be parsed");
                ledger.skip(*offset);
                continue;
            };
            if ledger.apply(*offset, record) {
                log_record(*offset, record, ledger);
            }
            if matches!(record, MapRecord::Snapshot { .. }) {
                self.proposer.record_snapshot(now);
            }
        }
        self.proposer.observe(now, ledger);
    }

    /// Records that a read of the log failed.
    pub(crate) fn record_log_unavailable(&mut self, now: Timestamp) {
        self.log_up = false;
        self.exchanged_at = Some(now);
    }

    /// Returns whether records may be appended: only after a successful read, because they are derived from what was
    /// read.
    pub(crate) fn may_append(&self) -> bool {
        self.log_up && self.step.is_some()
    }

    /// Returns whether the stream must be read at the shorter interval.
    pub(crate) fn needs_fast_polling(&self) -> bool {
        self.ledger
            .as_ref()
            .is_some_and(|ledger| ledger.pending().is_some() || !self.proposer.holds_ranks(ledger))
    }

    /// Returns the records to append.
    pub(crate) fn records_to_append(&mut self, now: Timestamp) -> Vec<MapRecord> {
        let (Some(ledger), Some(step)) = (&self.ledger, self.step) else {
            return Vec::new();
        };
        let may_vote =
            self.proposer.holds_ranks(ledger) && self.confirmed_generation == Some(ledger.generation());
        let vote = if may_vote { self.gate.vote(ledger) } else { None };
        let due = self.proposer.propose(now, ledger);
        let proposer = &mut self.proposer;
        let switch = self.planned_map.take().and_then(|content| proposer.prepare(now, ledger, step, content));
        [vote, due, switch].into_iter().flatten().collect()
    }

    /// Returns whether this agent should plan the placement now.
    pub(crate) fn plan_is_due(&self, now: Timestamp) -> bool {
        let may_prepare = |ledger: &MapLedger| self.proposer.may_prepare(now, ledger);
        self.placement_planner.is_due(now) && self.ledger.as_ref().is_some_and(may_prepare)
    }

    /// Plans the placement from the token counts.
    pub(crate) fn plan(&mut self, now: Timestamp, load: &GroupLoad) {
        let current = self.ledger.as_ref().and_then(MapLedger::content);
        self.planned_map = self.placement_planner.plan(now, current, load).map(Arc::new);
    }

    /// Returns the map whose weights must be loaded next, if any, and marks it as being loaded. The map in force comes
    /// before the proposed one.
    pub(crate) fn take_map_to_load(&mut self) -> Option<(MapVersion, Arc<ExpertMap>)> {
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

    /// Records that the load of a map's weights succeeded or failed.
    pub(crate) fn record_loading_ended(&mut self, map: MapVersion, loaded: bool) {
        self.loading = None;
        if loaded {
            self.has_weights = true;
            self.loaded = Some(map);
            self.gate.record_weights_loaded(map);
        }
    }

    /// Returns the permit to send to the engine now, if it needs one and steps may be permitted.
    pub(crate) fn next_permit(&mut self, now: Timestamp, view: &GroupView) -> Option<PermitCall> {
        let (first, ranks) = self.preferences;
        let own_views = view.ranks.get(usize::from(first)..usize::from(first) + usize::from(ranks))?;
        let ahead = self.lookahead.permit_ahead();
        let through =
            |bound: fn(u64, u64) -> u64| own_views.iter().map(|rank| rank.through_step).reduce(bound);
        let (lowest, highest) = (through(u64::min)?, through(u64::max)?);
        if self.step.is_none() {
            // A permit of a previous incarnation may still be in flight to the engine.
            let through = highest.max(view.step + ahead);
            self.gate.assume_permitted_through(through);
            self.accepted_through = Some(through);
        }
        if self.step.is_some_and(|step| view.step < step) {
            log::warn!("group: the engine restarted its step count at {}", view.step);
            (self.has_weights, self.loaded) = (false, None);
        }
        self.step = Some(view.step);
        let ledger = self.ledger.as_ref()?;
        if !self.has_weights && ledger.content().is_some() {
            return None;
        }
        let is_stale = self.exchanged_at.is_none_or(|at| now.millis_since(at) > MAX_EXCHANGE_AGE_MS);
        if is_stale || !self.proposer.holds_ranks(ledger) {
            return None;
        }
        // While the log cannot be read, a permit that this incarnation did not give shows that a generation has named
        // another incarnation.
        let has_foreign_permit = self.accepted_through < Some(highest);
        if has_foreign_permit {
            self.undisturbed_permits = 0;
        }
        let generation = ledger.generation();
        if has_foreign_permit && !self.log_up
            || own_views.iter().any(|rank| rank.generation > Some(generation))
        {
            return None;
        }
        if self.log_up {
            self.accepted_through = self.accepted_through.max(Some(highest));
        }
        let reports_generations = own_views.iter().all(|rank| rank.generation.is_some());
        let is_adopted = own_views.iter().all(|rank| rank.generation.is_none_or(|seen| seen == generation));
        if self.confirmed_generation != Some(generation)
            && self.accepted_generation == Some(generation)
            && is_adopted
            && (reports_generations || self.undisturbed_permits >= CONFIRMING_PERMITS)
        {
            // A previous incarnation decided its last permit before the engine reported this state.
            let through = view.step + ahead;
            self.gate.assume_permitted_through(through);
            self.accepted_through = self.accepted_through.max(Some(through));
            self.confirmed_generation = Some(generation);
        }
        if self.confirmed_generation == Some(generation) && lowest > view.step + ahead / 2 {
            return None;
        }
        let steps = (view.step + ahead).saturating_sub(lowest);
        let permit = self.gate.permit(ledger, lowest + 1, steps)?;
        // A previous incarnation may have left the ranks at different steps. They are then permitted one rank at a
        // time, because a permit starts where the rank's last permit ended.
        let behind =
            (first..).zip(own_views).find(|(_, rank)| rank.through_step == lowest).map(|(rank, _)| rank)?;
        let (rank, ranks) = if lowest == highest { (first, ranks) } else { (behind, 1) };
        Some(PermitCall {
            rank,
            ranks,
            generation: permit.generation,
            map: permit.map,
            through_step: permit.through,
        })
    }

    /// Records that the engine accepted a permit.
    pub(crate) fn record_permit_accepted(&mut self, permit: &PermitCall) {
        let is_same_generation = self.accepted_generation == Some(permit.generation);
        self.undisturbed_permits = if is_same_generation { self.undisturbed_permits + 1 } else { 1 };
        self.accepted_generation = Some(permit.generation);
        self.accepted_through = self.accepted_through.max(Some(permit.through_step));
    }

    /// Returns the status for the dump.
    pub(crate) fn status(&self) -> Value {
        let ledger = self.ledger.as_ref();
        json!({
            "ranks": { "first": self.preferences.0, "count": self.preferences.1 },
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
            "confirmed": self.confirmed_generation,
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
        MapRecord::Generation { generation, .. } => {
            log::info!("group: generation {generation} at offset {offset}")
        }
        MapRecord::Prepare { map, hold_step, .. } => {
            log::info!("group: switch {offset} to map {} at step {hold_step} proposed", map.0);
        }
        MapRecord::Vote { switch, .. } if ledger.pending().is_none() => {
            log::info!("group: switch {} committed", switch.0);
        }
        MapRecord::Abort { switch } => log::warn!("group: switch {} aborted", switch.0),
        MapRecord::Vote { .. } | MapRecord::Snapshot { .. } => {}
    }
}
