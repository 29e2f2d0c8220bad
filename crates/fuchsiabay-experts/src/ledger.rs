//! The map of every step, reduced from the log stream of one group.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fuchsiabay_base::{WriterId, invariant, is_mechanism_enabled};
use serde::{Deserialize, Serialize};

use crate::{ExpertMap, MapRecord, MapVersion, Rank, SwitchId};

/// Segments that are kept. Ranks in lock-step are never further apart than one switch, so older ones are finished.
const KEPT_SEGMENTS: usize = 8;

/// Records that may wait for a snapshot. A stream has a few records a minute, and a snapshot comes several times within
/// the retention of the log.
const BACKLOG_RECORDS: usize = 4096;

/// Steps from `from` on, up to the next segment, use `map`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Segment {
    /// The first step.
    pub from: u64,
    /// The map.
    pub map: MapVersion,
}

/// A switch that is neither committed nor aborted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PendingSwitch {
    /// The switch.
    pub switch: SwitchId,
    /// The proposed map.
    pub map: MapVersion,
    /// The first step of the proposed map.
    pub hold_step: u64,
    /// The agents that voted.
    pub votes: BTreeSet<WriterId>,
    /// The content of the proposed map.
    pub content: Arc<ExpertMap>,
}

/// Reduces the records of one group. Every reader of the same prefix has the same ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MapLedger {
    generation: u64,
    ranks: BTreeMap<Rank, WriterId>,
    segments: Vec<Segment>,
    /// The content of the last map.
    content: Option<Arc<ExpertMap>>,
    pending: Option<PendingSwitch>,
    /// The highest map that was proposed, decided or not.
    last_proposed: MapVersion,
    next_offset: u64,
    /// While the state is unknown: the offset from which on every record was seen, and those records.
    unknown: Option<Backlog>,
}

/// Records that were read before a snapshot told the state that they apply to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Backlog {
    from: u64,
    records: Vec<(u64, MapRecord)>,
}

impl MapLedger {
    /// Starts to read a stream whose first retained offset is `first`. When retention dropped the beginning, the
    /// ledger is incomplete until a snapshot covers what was dropped.
    pub fn starting_at(first: u64) -> Self {
        let unknown = (first > 0).then(|| Backlog { from: first, records: Vec::new() });
        Self { next_offset: first, unknown, ..Self::default() }
    }

    /// Applies the record at `offset`. Returns whether it changed the state. A record that was applied before is
    /// ignored; after a gap the state is unknown until a snapshot covers what was missed.
    pub fn apply(&mut self, offset: u64, record: &MapRecord) -> bool {
        if offset < self.next_offset {
            return false;
        }
        if offset > self.next_offset {
            self.unknown = Some(Backlog { from: offset, ..Backlog::default() });
        }
        self.next_offset = offset + 1;
        let Some(backlog) = &mut self.unknown else {
            return self.reduce(offset, record);
        };
        if !matches!(record, MapRecord::Snapshot { .. }) {
            backlog.push(offset, record);
            return false;
        }
        self.adopt(record)
    }

    /// Passes over the record at `offset`, which is none of this stream's records. Every reader ignores it alike.
    pub fn skip(&mut self, offset: u64) {
        if offset > self.next_offset {
            self.unknown = Some(Backlog { from: offset, ..Backlog::default() });
        }
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// Notes that retention dropped the records before `first`. The state is unknown when some of them were not read.
    pub fn note_first_retained(&mut self, first: u64) {
        if first > self.next_offset {
            self.unknown = Some(Backlog { from: first, ..Backlog::default() });
            self.next_offset = first;
        }
    }

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns whether the state is known. A gate must not permit anything while it is not.
    pub fn is_complete(&self) -> bool {
        self.unknown.is_none()
    }

    /// Returns the generation.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the agent of each rank.
    pub fn ranks(&self) -> &BTreeMap<Rank, WriterId> {
        &self.ranks
    }

    /// Returns the undecided switch.
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

    /// Returns the number of the next map to propose.
    pub fn next_map(&self) -> MapVersion {
        MapVersion(self.last_proposed.0 + 1)
    }

    /// Returns the map of `step` and the step after the last one that is known to use it. `None` for the end stands for
    /// no known end.
    pub fn map_of(&self, step: u64) -> Option<(MapVersion, Option<u64>)> {
        let i = self.segments.iter().rposition(|segment| segment.from <= step)?;
        Some((self.segments[i].map, self.segments.get(i + 1).map(|next| next.from)))
    }

    /// Returns the record that repeats the state.
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

    /// Takes the state of a snapshot and applies what was read after it. A snapshot that a frozen writer appended late
    /// misses records that this reader cannot see either, and is ignored.
    fn adopt(&mut self, snapshot: &MapRecord) -> bool {
        let MapRecord::Snapshot { as_of, generation, ranks, segments, content, pending, last_proposed } =
            snapshot
        else {
            return false;
        };
        let Some(backlog) = self.unknown.take_if(|backlog| as_of + 1 >= backlog.from) else {
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
            // A number that an aborted switch used may stand for loaded weights of another content.
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
        if self.segments.len() > KEPT_SEGMENTS {
            self.segments.remove(0);
        }
    }

    fn abort(&mut self, switch: SwitchId) -> bool {
        self.pending.take_if(|pending| pending.switch == switch).is_some()
    }
}

impl Backlog {
    fn push(&mut self, offset: u64, record: &MapRecord) {
        if self.records.len() >= BACKLOG_RECORDS {
            self.records.clear();
            self.from = offset;
        }
        self.records.push((offset, record.clone()));
    }
}
