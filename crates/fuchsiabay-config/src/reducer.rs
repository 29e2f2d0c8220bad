//! The reducer of the stream `config`.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use fuchsiabay_base::{Timestamp, invariant, is_mechanism_enabled};
use serde_json::Value;

use crate::{ConfigRecord, Document, Millis, VersionedConfig};

/// The maximum number of recent append times kept, from which the coverage of a late snapshot is dated. The readers
/// of six zones append a dozen snapshots at nearly the same time; the rest leaves room for a burst of publishes in
/// between.
const MAX_RECENT_APPENDS: usize = 256;

/// The number of snapshots per retention period. A snapshot is due once the oldest record that the last valid
/// snapshot does not cover is older than the retention divided by this.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// How long a reader that found no base in the whole retained log waits for the snapshot of a reader that has one, in
/// milliseconds. Such a snapshot is overdue then, and is appended after the first reads that follow an outage.
const BASE_WAIT_MS: u64 = 10_000;

/// The effect of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// The change is in force from this version on.
    Accepted {
        /// The new version.
        version: u64,
    },
    /// The change is rejected by every reducer.
    Rejected {
        /// The reason.
        reason: RejectReason,
    },
    /// The record proposes no change, was applied before, or cannot be evaluated yet because there is no base.
    Ignored,
}

/// Why a change is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RejectReason {
    /// Another change was accepted first.
    #[error("it is based on version {based_on}, but version {current} is in force")]
    StaleBase {
        /// The version that the author saw.
        based_on: u64,
        /// The version in force.
        current: u64,
    },
    /// The document is not valid.
    #[error("the document is not valid: {0}")]
    InvalidDocument(String),
    /// The document in force has no such preset.
    #[error("the document in force has no preset named {0:?}")]
    UnknownPreset(String),
}

/// Reduces the records of the stream `config` in log order. Every process that reads the same log computes the same
/// state.
///
/// The configuration in force is kept apart from the base, the state against which records are evaluated. A reader
/// that missed records keeps serving under the configuration that it has, and evaluates new records only once it has
/// found a base that covers every record that it missed.
#[derive(Debug, Default)]
pub struct ConfigReducer {
    in_force: Option<Arc<VersionedConfig>>,
    /// The offset of the next record. `None` before the first call of `skip_to`.
    next_offset: Option<u64>,
    /// The first retained offset when the reader started or last found a gap.
    first_offset: u64,
    /// The state against which records are evaluated. `None` without a base, `Some(None)` before the first accepted
    /// change.
    base: Option<Option<Arc<VersionedConfig>>>,
    /// The records read while there is no base.
    buffered: BTreeMap<u64, ConfigRecord>,
    /// The offset and append time of recent records.
    recent_appends: VecDeque<(u64, Timestamp)>,
    /// When `due_snapshot` was first called without a base, or last returned a snapshot without one.
    no_base_since: Option<Timestamp>,
    /// The append time of the first record that the last valid snapshot does not cover.
    first_uncovered_at: Option<Timestamp>,
}

impl ConfigReducer {
    /// Skips the records before `first_offset`, the first retained offset of the log. Called before the records of
    /// each page are applied.
    ///
    /// If retention dropped records before this reader read them, the reader has no base.
    pub fn skip_to(&mut self, first_offset: u64) {
        if self.next_offset.is_some_and(|next| first_offset <= next) {
            return;
        }
        self.first_offset = first_offset;
        self.next_offset = Some(first_offset);
        self.buffered.clear();
        self.recent_appends.clear();
        self.first_uncovered_at = None;
        self.base = (first_offset == 0).then_some(None);
        if let Some(state) = self.in_force.clone() {
            self.adopt_as_base(&state);
        }
    }

    /// Returns the snapshot to append, if one is due at `now` on the clock of the log. The caller must have read the
    /// log to its end, and draws `jitter_ms` once, so that normally only one of the readers appends.
    ///
    /// If the log was down for longer than its retention, every reader may have missed a record, and none has a base.
    /// The retained log then contains no snapshot that covers the dropped records, although every reader with a base
    /// appends several per retention period. After a wait, a reader without a base therefore records the
    /// configuration that it serves under. A reader without a configuration waits a whole retention before it records
    /// that there is none.
    pub fn due_snapshot(
        &mut self,
        now: Timestamp,
        retention: Millis,
        jitter_ms: u64,
    ) -> Option<ConfigRecord> {
        if self.base.is_some() {
            self.no_base_since = None;
            let due = self.snapshot_due_at(retention)?.plus_millis(jitter_ms);
            return if now >= due { self.snapshot() } else { None };
        }
        let wait_ms = if self.in_force.is_some() { BASE_WAIT_MS } else { retention.0 };
        let since = *self.no_base_since.get_or_insert(now);
        if now < since.plus_millis(wait_ms).plus_millis(jitter_ms) || !is_mechanism_enabled("base-recovery") {
            return None;
        }
        self.no_base_since = Some(now);
        // The records read since the gap are buffered and not part of the configuration in force.
        let as_of = self.first_offset.checked_sub(1)?;
        Some(ConfigRecord::Snapshot { state: self.in_force.as_deref().cloned().map(Box::new), as_of })
    }

    /// Applies a raw record. A malformed record is ignored by every reducer.
    pub fn apply_raw(&mut self, offset: u64, at: Timestamp, data: &Value) -> RecordEffect {
        match ConfigRecord::parse(data) {
            Some(record) => self.apply(offset, at, &record),
            None => {
                self.advance(offset, at);
                RecordEffect::Ignored
            }
        }
    }

    /// Applies the record at `offset`, which was appended at `at`.
    pub fn apply(&mut self, offset: u64, at: Timestamp, record: &ConfigRecord) -> RecordEffect {
        if !self.advance(offset, at) {
            return RecordEffect::Ignored;
        }
        if let ConfigRecord::Snapshot { state, as_of } = record {
            self.apply_snapshot(offset, state.as_deref(), *as_of);
            return RecordEffect::Ignored;
        }
        let Some(base) = &self.base else {
            self.buffered.insert(offset, record.clone());
            return RecordEffect::Ignored;
        };
        match evaluate(base.as_deref(), offset, record) {
            Ok(state) => {
                let version = state.version;
                let state = Arc::new(state);
                self.base = Some(Some(state.clone()));
                self.put_in_force(state);
                RecordEffect::Accepted { version }
            }
            Err(reason) => RecordEffect::Rejected { reason },
        }
    }

    /// Adopts the state of a neighbour if its version is higher. Returns whether it was.
    pub fn adopt(&mut self, state: VersionedConfig) -> bool {
        let before = self.version();
        let state = Arc::new(state);
        if self.next_offset.is_some() {
            self.adopt_as_base(&state);
        }
        self.put_in_force(state);
        self.version() > before
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&Arc<VersionedConfig>> {
        self.in_force.as_ref()
    }

    /// Returns the version in force. Zero if there is none.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |state| state.version)
    }

    /// Returns the version that a change must be based on to be accepted. `None` while this reader has no base.
    pub fn base_version(&self) -> Option<u64> {
        self.base.as_ref().map(|base| version_of(base.as_deref()))
    }

    /// Returns the offset to read next. `None` before the first page.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Returns when the next snapshot is due, on the clock of the log. `None` without a base, or before the first
    /// record was read. The caller adds jitter, so that not every reader appends one.
    pub fn snapshot_due_at(&self, retention: Millis) -> Option<Timestamp> {
        self.base.as_ref()?;
        self.first_uncovered_at.map(|at| at.plus_millis(retention.0 / SNAPSHOTS_PER_RETENTION))
    }

    /// Returns the snapshot of the reduced state. `None` without a base.
    pub fn snapshot(&self) -> Option<ConfigRecord> {
        let state = self.base.as_ref()?.as_deref().cloned().map(Box::new);
        let as_of = self.next_offset?.checked_sub(1)?;
        Some(ConfigRecord::Snapshot { state, as_of })
    }

    /// Advances past the record at `offset`. Returns false if it was read before.
    fn advance(&mut self, offset: u64, at: Timestamp) -> bool {
        if self.next_offset.is_some_and(|next| offset < next) {
            return false;
        }
        self.skip_to(offset);
        self.next_offset = Some(offset + 1);
        if self.recent_appends.len() == MAX_RECENT_APPENDS {
            self.recent_appends.pop_front();
        }
        self.recent_appends.push_back((offset, at));
        self.first_uncovered_at.get_or_insert(at);
        true
    }

    fn apply_snapshot(&mut self, offset: u64, state: Option<&VersionedConfig>, as_of: u64) {
        let covers_gap =
            as_of.saturating_add(1) >= self.first_offset || !is_mechanism_enabled("snapshot-coverage");
        if as_of >= offset || !covers_gap {
            return;
        }
        if state.is_some_and(|state| state.version > as_of + 1 || !state.document.problems().is_empty()) {
            return;
        }
        if let Some(&(_, at)) = self.recent_appends.iter().find(|(offset, _)| *offset == as_of + 1) {
            self.first_uncovered_at = self.first_uncovered_at.max(Some(at));
        }
        if self.base.is_some() && is_mechanism_enabled("snapshot-coverage") {
            return;
        }
        self.set_base(state.cloned().map(Arc::new), as_of);
    }

    /// Adopts `state` as the base, if there is none and no record after it was missed.
    fn adopt_as_base(&mut self, state: &Arc<VersionedConfig>) {
        if state.version >= self.first_offset && self.base.is_none() {
            self.set_base(Some(state.clone()), state.version.saturating_sub(1));
        }
    }

    /// Sets the base to `state`, which covers the records up to `as_of`, and reduces the buffered records after it.
    fn set_base(&mut self, state: Option<Arc<VersionedConfig>>, as_of: u64) {
        let mut base = state;
        for (offset, record) in std::mem::take(&mut self.buffered) {
            if offset <= as_of {
                continue;
            }
            if let Ok(state) = evaluate(base.as_deref(), offset, &record) {
                base = Some(Arc::new(state));
            }
        }
        if let Some(state) = &base {
            self.put_in_force(state.clone());
        }
        self.base = Some(base);
    }

    fn put_in_force(&mut self, state: Arc<VersionedConfig>) {
        let current = self.in_force.as_ref();
        invariant!(
            "config-one-state-per-version",
            current.is_none_or(|current| current.version != state.version || *current == state),
            "version {} has two states",
            state.version
        );
        if state.version <= self.version() && is_mechanism_enabled("never-lower") {
            return;
        }
        self.in_force = Some(state);
    }
}

impl ConfigRecord {
    fn parse(data: &Value) -> Option<Self> {
        serde::Deserialize::deserialize(data).ok()
    }
}

fn version_of(state: Option<&VersionedConfig>) -> u64 {
    state.map_or(0, |state| state.version)
}

/// Evaluates a proposal against the state before it.
fn evaluate(
    base: Option<&VersionedConfig>,
    offset: u64,
    record: &ConfigRecord,
) -> Result<VersionedConfig, RejectReason> {
    let current = version_of(base);
    let version = offset + 1;
    match record {
        ConfigRecord::Publish { based_on, document, .. } => {
            check_base(*based_on, current)?;
            let document = parse_document(document)?;
            let kept =
                base.map(|state| &state.preset_name).filter(|name| document.presets.contains_key(*name));
            let preset = kept.unwrap_or(&document.initial_preset).clone();
            VersionedConfig::new(version, document, preset.clone()).ok_or(RejectReason::UnknownPreset(preset))
        }
        ConfigRecord::PresetSwitch { based_on, preset, .. } => {
            check_base(*based_on, current)?;
            let document = base.map(|state| state.document.clone());
            document
                .and_then(|document| VersionedConfig::new(version, document, preset.clone()))
                .ok_or_else(|| RejectReason::UnknownPreset(preset.clone()))
        }
        ConfigRecord::Snapshot { .. } => Err(RejectReason::StaleBase { based_on: 0, current }),
    }
}

fn check_base(based_on: u64, current: u64) -> Result<(), RejectReason> {
    if based_on != current && is_mechanism_enabled("based-on-version") {
        return Err(RejectReason::StaleBase { based_on, current });
    }
    Ok(())
}

fn parse_document(document: &Value) -> Result<Document, RejectReason> {
    let document: Document = serde::Deserialize::deserialize(document)
        .map_err(|error: serde_json::Error| RejectReason::InvalidDocument(error.to_string()))?;
    let problems = document.problems();
    if !problems.is_empty() {
        let texts: Vec<String> = problems.iter().map(ToString::to_string).collect();
        return Err(RejectReason::InvalidDocument(texts.join("; ")));
    }
    Ok(document)
}
