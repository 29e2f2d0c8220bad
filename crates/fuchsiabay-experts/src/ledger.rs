//! The expert map of every step, derived from the log stream of one group.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fuchsiabay_base::{WriterId, invariant, is_mechanism_enabled};
use serde::{Deserialize, Serialize};

use crate::{ExpertMap, MapRecord, MapVersion, Rank, SwitchId};

/// The number of segments that are kept. Ranks run in lockstep and are never more than one switch apart, so older
/// segments are finished.
const MAX_SEGMENTS: usize = 8;

/// The number of records that may be buffered until a snapshot arrives. A stream gets a few records per minute and
/// several snapshots within the retention of the log.
const MAX_BACKLOG_RECORDS: usize = 4096;

/// A range of steps that use the same map. It ends where the next segment starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Segment {
    /// The first step of the segment.
    pub from: u64,
    /// The map that the steps use.
    pub map: MapVersion,
}

/// A switch that is neither committed nor aborted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PendingSwitch {
    /// Identifies the switch.
    pub switch: SwitchId,
    /// The proposed map.
    pub map: MapVersion,
    /// The first step that uses the proposed map.
    pub hold_step: u64,
    /// The agents that have voted.
    pub votes: BTreeSet<WriterId>,
    /// The content of the proposed map.
    pub content: Arc<ExpertMap>,
}

/// The state that the records of one group's log stream lead to, as a replicated state machine: every reader of the
/// same prefix of the stream has the same ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MapLedger {
    generation: u64,
    ranks: BTreeMap<Rank, WriterId>,
    segments: Vec<Segment>,
    /// The content of the last map.
    content: Option<Arc<ExpertMap>>,
    pending: Option<PendingSwitch>,
    /// The highest map version that was proposed, whether or not it was committed.
    last_proposed: MapVersion,
    next_offset: u64,
    /// Set while the state is unknown, until a snapshot restores it.
    backlog: Option<Backlog>,
}

/// Records to apply on top of the next snapshot. Every record from offset `from` on has been seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Backlog {
    from: u64,
    records: Vec<(u64, MapRecord)>,
}

impl MapLedger {
    /// Returns the ledger of a stream whose first retained offset is `first`, before any record is read. If retention
    /// has dropped the beginning of the stream, the ledger is incomplete until a snapshot covers the dropped records.
    pub fn starting_at(first: u64) -> Self {
        let backlog = (first > 0).then(|| Backlog { from: first, records: Vec::new() });
        Self { next_offset: first, backlog, ..Self::default() }
    }

    /// Applies the record at `offset`. Returns whether it changed the state. A record that was already applied is
    /// ignored. After a gap, the state is unknown until a snapshot covers the missed records.
    pub fn apply(&mut self, offset: u64, record: &MapRecord) -> bool {
        if offset < self.next_offset {
            return false;
        }
        if offset > self.next_offset {
            self.backlog = Some(Backlog { from: offset, ..Backlog::default() });
        }
        self.next_offset = offset + 1;
        let Some(backlog) = &mut self.backlog else {
            return self.reduce(offset, record);
        };
        if !matches!(record, MapRecord::Snapshot { .. }) {
            backlog.push(offset, record);
            return false;
        }
        self.install_snapshot(record)
    }

    /// Skips the entry at `offset`, which is not a valid [`MapRecord`]. Every reader skips the same entries.
    pub fn skip(&mut self, offset: u64) {
        if offset > self.next_offset {
            self.backlog = Some(Backlog { from: offset, ..Backlog::default() });
        }
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// Records that retention dropped the records before `first`. The state becomes unknown if any of them was not
    /// read.
    pub fn record_first_retained(&mut self, first: u64) {
        if first > self.next_offset {
            self.backlog = Some(Backlog { from: first, ..Backlog::default() });
            self.next_offset = first;
        }
    }

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns whether the state is known. While it is not, a gate must not grant permits.
    pub fn is_complete(&self) -> bool {
        self.backlog.is_none()
    }

    /// Returns the current generation.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the agent of each rank.
    pub fn ranks(&self) -> &BTreeMap<Rank, WriterId> {
        &self.ranks
    }

    /// Returns the undecided switch, if there is one.
    pub fn pending(&self) -> Option<&PendingSwitch> {
        self.pending.as_ref()
    }

    /// Returns the segments, oldest first.
    pub fn segments(&self) -> &[Segment] {
        &self.segments
    }

    /// Returns the content of the last map, or `None` for the first map, which follows from the settings.
    pub fn content(&self) -> Option<&Arc<ExpertMap>> {
        self.content.as_ref()
    }

    /// Returns the version of the next map to propose.
    pub fn next_map(&self) -> MapVersion {
        MapVersion(self.last_proposed.0 + 1)
    }

    /// Returns the map that `step` uses, and the first later step that uses another map, if one is known.
    pub fn map_at_step(&self, step: u64) -> Option<(MapVersion, Option<u64>)> {
        let i = self.segments.iter().rposition(|segment| segment.from <= step)?;
        Some((self.segments[i].map, self.segments.get(i + 1).map(|next| next.from)))
    }

    /// Returns a snapshot of the state, or `None` if the state is unknown or no record was read.
    pub fn snapshot(&self) -> Option<MapRecord> {
        let as_of = self.next_offset.checked_sub(1)?;
        if !self.is_complete() {
            return None;
        }
        Some(MapRecord::Snapshot {
            as_of,
            generation: self.generation,
            ranks: self.ranks.clone(),
            segments: self.segments.clone(),
            content: self.content.clone(),
            pending: self.pending.clone(),
            last_proposed: self.last_proposed,
        })
    }

    fn reduce(&mut self, offset: u64, record: &MapRecord) -> bool {
        match record {
            MapRecord::Snapshot { .. } => false,
            MapRecord::Generation { generation, ranks } => self.start_generation(*generation, ranks),
            MapRecord::Prepare { generation, map, hold_step, content } => {
                self.prepare(SwitchId(offset), *generation, *map, *hold_step, content)
            }
            MapRecord::Vote { switch, generation, writer } => self.vote(*switch, *generation, writer),
            MapRecord::Abort { switch } => self.abort(*switch),
        }
    }

    /// Replaces the state with a snapshot and applies the records read after it. A snapshot is ignored if it lacks
    /// records that this reader has missed too, which happens when a frozen writer appends it late.
    fn install_snapshot(&mut self, snapshot: &MapRecord) -> bool {
        let MapRecord::Snapshot { as_of, generation, ranks, segments, content, pending, last_proposed } =
            snapshot
        else {
            return false;
        };
        let Some(backlog) = self.backlog.take_if(|backlog| as_of + 1 >= backlog.from) else {
            return false;
        };
        self.generation = *generation;
        self.ranks = ranks.clone();
        self.segments = segments.clone();
        self.content = content.clone();
        self.pending = pending.clone();
        self.last_proposed = *last_proposed;
        for (offset, record) in backlog.records.iter().filter(|(offset, _)| offset > as_of) {
            self.reduce(*offset, record);
        }
        true
    }

    fn start_generation(&mut self, generation: u64, ranks: &BTreeMap<Rank, WriterId>) -> bool {
        if generation != self.generation + 1 || ranks.is_empty() {
            return false;
        }
        self.generation = generation;
        self.ranks = ranks.clone();
        self.pending = None;
        if self.segments.is_empty() {
            self.segments.push(Segment { from: 0, map: MapVersion(0) });
        }
        true
    }

    fn prepare(
        &mut self,
        switch: SwitchId,
        generation: u64,
        map: MapVersion,
        hold_step: u64,
        content: &Arc<ExpertMap>,
    ) -> bool {
        let Some(last) = self.segments.last() else {
            return false;
        };
        if generation != self.generation
            || self.pending.is_some()
            || hold_step <= last.from
            // An engine may have loaded weights for the same version of an aborted switch with other content.
            || map <= self.last_proposed
        {
            return false;
        }
        self.last_proposed = map;
        let content = Arc::clone(content);
        self.pending = Some(PendingSwitch { switch, map, hold_step, votes: BTreeSet::new(), content });
        true
    }

    fn vote(&mut self, switch: SwitchId, generation: u64, writer: &WriterId) -> bool {
        if generation != self.generation || !self.ranks.values().any(|member| member == writer) {
            return false;
        }
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.switch == switch) else {
            return false;
        };
        pending.votes.insert(writer.clone());
        let unanimous = self.ranks.values().all(|member| pending.votes.contains(member));
        if unanimous || !is_mechanism_enabled("unanimous-votes") {
            self.commit();
        }
        true
    }

    fn commit(&mut self) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let last = self.segments.last().map_or(0, |segment| segment.from);
        invariant!(
            "map-history-is-append-only",
            pending.hold_step > last,
            "switch at step {} after a segment from step {last}",
            pending.hold_step
        );
        self.segments.push(Segment { from: pending.hold_step, map: pending.map });
        self.content = Some(pending.content);
        if self.segments.len() > MAX_SEGMENTS {
            self.segments.remove(0);
        }
    }

    fn abort(&mut self, switch: SwitchId) -> bool {
        self.pending.take_if(|pending| pending.switch == switch).is_some()
    }
}

impl Backlog {
    fn push(&mut self, offset: u64, record: &MapRecord) {
        if self.records.len() >= MAX_BACKLOG_RECORDS {
            self.records.clear();
            self.from = offset;
        }
        self.records.push((offset, record.clone()));
    }
}
