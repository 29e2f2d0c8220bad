//! The reducer of the stream `config`.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use fuchsiabay_base::{Timestamp, invariant, is_mechanism_enabled};
use serde_json::Value;

use crate::{ConfigRecord, Document, Millis, VersionedConfig};

/// Recent append times kept to date a snapshot that was appended late. Readers of six zones append a dozen
/// snapshots at nearly the same moment; this leaves room for a burst of publishes in between.
const RECENT_TIMES: usize = 256;

/// A snapshot is due when the last valid one is older than this part of the retention.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// A reader that found no base in the whole retained log waits this long, in milliseconds, for the snapshot of a
/// reader that has one. Such a snapshot is overdue then, and comes with the first reads after an outage.
const BASE_WAIT_MS: u64 = 10_000;

/// What a record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// The change is in force from this version on.
    Accepted {
        /// The new version.
        version: u64,
    },
    /// Every reducer rejects the change.
    Rejected {
        /// Why.
        reason: RejectReason,
    },
    /// The record changes nothing, repeats what was read, or cannot be judged yet for lack of a base.
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
    /// The document has faults.
    #[error("the document is not valid: {0}")]
    InvalidDocument(String),
    /// The document in force has no such preset.
    #[error("the document in force has no preset named {0:?}")]
    UnknownPreset(String),
}

/// Reduces the records of the stream `config` in log order. Every process that reads the same log comes to the
/// same state.
///
/// The served state is kept apart from the reduction: a reader that lost its place keeps serving what it has, and
/// judges new records only after it has found a base that covers every record it missed.
#[derive(Debug, Default)]
pub struct ConfigReducer {
    in_force: Option<Arc<VersionedConfig>>,
    /// The offset of the next record. None before the first call of `skip_to`.
    next: Option<u64>,
    /// The first retained offset when the reader began or found a gap.
    first: u64,
    /// The state that records are judged against. None while there is no base.
    base: Option<Option<Arc<VersionedConfig>>>,
    /// Records read while there is no base.
    held: BTreeMap<u64, ConfigRecord>,
    recent: VecDeque<(u64, Timestamp)>,
    /// When this reader first asked for a snapshot without a base.
    baseless_since: Option<Timestamp>,
    /// When the log took the first record that the last valid snapshot does not cover.
    covered_at: Option<Timestamp>,
}

impl ConfigReducer {
    /// States the first retained offset of the log, before the records of each page are applied.
    ///
    /// Records that retention dropped before this reader read them leave it without a base.
    pub fn skip_to(&mut self, first_offset: u64) {
        if self.next.is_some_and(|next| first_offset <= next) {
            return;
        }
        self.first = first_offset;
        self.next = Some(first_offset);
        self.held.clear();
        self.recent.clear();
        self.covered_at = None;
        self.base = (first_offset == 0).then_some(None);
        if let Some(state) = self.in_force.clone() {
            self.rebase(&state);
        }
    }

    /// Returns the snapshot to append, when one is due at `now` on the clock of the log. The caller asks only after it
    /// has read the log to its end, and draws `jitter_ms` once, so that normally one reader of many appends.
    ///
    /// When the log was down for longer than its retention, every reader may have missed a record and nobody has a
    /// base. The retained log then holds no snapshot that covers what was dropped, although every reader with a base
    /// appends several within the retention. After a wait, a reader repeats the state it serves, and one that knows
    /// none waits a whole retention before it states that there is none.
    pub fn due_snapshot(
        &mut self,
        now: Timestamp,
        retention: Millis,
        jitter_ms: u64,
    ) -> Option<ConfigRecord> {
        if self.base.is_some() {
            self.baseless_since = None;
            let due = self.snapshot_due_at(retention)?.plus_millis(jitter_ms);
            return if now >= due { self.snapshot() } else { None };
        }
        let wait_ms = if self.in_force.is_some() { BASE_WAIT_MS } else { retention.0 };
        let since = *self.baseless_since.get_or_insert(now);
        if now < since.plus_millis(wait_ms).plus_millis(jitter_ms) || !is_mechanism_enabled("base-recovery") {
            return None;
        }
        self.baseless_since = Some(now);
        // Records read since the gap are held and not part of the served state.
        let as_of = self.first.checked_sub(1)?;
        Some(ConfigRecord::Snapshot { state: self.in_force.as_deref().cloned().map(Box::new), as_of })
    }

    /// Applies a record in its raw form. A record that does not parse is ignored by every reducer alike.
    pub fn apply_raw(&mut self, offset: u64, at: Timestamp, data: &Value) -> RecordEffect {
        match ConfigRecord::deserialize_ref(data) {
            Some(record) => self.apply(offset, at, &record),
            None => {
                self.advance(offset, at);
                RecordEffect::Ignored
            }
        }
    }

    /// Applies the record at `offset`, which the log took at `at`.
    pub fn apply(&mut self, offset: u64, at: Timestamp, record: &ConfigRecord) -> RecordEffect {
        if !self.advance(offset, at) {
            return RecordEffect::Ignored;
        }
        if let ConfigRecord::Snapshot { state, as_of } = record {
            self.apply_snapshot(offset, state.as_deref(), *as_of);
            return RecordEffect::Ignored;
        }
        let Some(base) = &self.base else {
            self.held.insert(offset, record.clone());
            return RecordEffect::Ignored;
        };
        match judge(base.as_deref(), offset, record) {
            Ok(state) => {
                let version = state.version;
                let state = Arc::new(state);
                self.base = Some(Some(state.clone()));
                self.serve(state);
                RecordEffect::Accepted { version }
            }
            Err(reason) => RecordEffect::Rejected { reason },
        }
    }

    /// Takes over the state of a neighbour if its version is higher. Returns whether it was.
    pub fn adopt(&mut self, state: VersionedConfig) -> bool {
        let before = self.version();
        let state = Arc::new(state);
        if self.next.is_some() {
            self.rebase(&state);
        }
        self.serve(state);
        self.version() > before
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<&Arc<VersionedConfig>> {
        self.in_force.as_ref()
    }

    /// Returns the version in force, or zero.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |state| state.version)
    }

    /// Returns the version that a change must be based on to be accepted, or none while this reader has no base.
    pub fn base_version(&self) -> Option<u64> {
        self.base.as_ref().map(|base| version_of(base.as_deref()))
    }

    /// Returns the offset to read next, or none before the first page.
    pub fn next_offset(&self) -> Option<u64> {
        self.next
    }

    /// Returns when the next snapshot is due, on the clock of the log. None while there is nothing to repeat or
    /// no base. The caller adds jitter, so that not every reader appends one.
    pub fn snapshot_due_at(&self, retention: Millis) -> Option<Timestamp> {
        self.base.as_ref()?;
        self.covered_at.map(|at| at.plus_millis(retention.0 / SNAPSHOTS_PER_RETENTION))
    }

    /// Returns the snapshot of the reduced state, or none without a base.
    pub fn snapshot(&self) -> Option<ConfigRecord> {
        let state = self.base.as_ref()?.as_deref().cloned().map(Box::new);
        let as_of = self.next?.checked_sub(1)?;
        Some(ConfigRecord::Snapshot { state, as_of })
    }

    /// Moves past `offset`. Returns false for a record that was read before.
    fn advance(&mut self, offset: u64, at: Timestamp) -> bool {
        if self.next.is_some_and(|next| offset < next) {
            return false;
        }
        self.skip_to(offset);
        self.next = Some(offset + 1);
        if self.recent.len() == RECENT_TIMES {
            self.recent.pop_front();
        }
        self.recent.push_back((offset, at));
        self.covered_at.get_or_insert(at);
        true
    }

    fn apply_snapshot(&mut self, offset: u64, state: Option<&VersionedConfig>, as_of: u64) {
        let covers = as_of.saturating_add(1) >= self.first || !is_mechanism_enabled("snapshot-coverage");
        if as_of >= offset || !covers {
            return;
        }
        if state.is_some_and(|state| state.version > as_of + 1 || !state.document.problems().is_empty()) {
            return;
        }
        if let Some(&(_, at)) = self.recent.iter().find(|(offset, _)| *offset == as_of + 1) {
            self.covered_at = self.covered_at.max(Some(at));
        }
        if self.base.is_some() && is_mechanism_enabled("snapshot-coverage") {
            return;
        }
        self.restart_from(state.cloned().map(Arc::new), as_of);
    }

    /// Uses a served state as the base, if no record after it was missed.
    fn rebase(&mut self, state: &Arc<VersionedConfig>) {
        if state.version >= self.first && self.base.is_none() {
            self.restart_from(Some(state.clone()), state.version.saturating_sub(1));
        }
    }

    fn restart_from(&mut self, state: Option<Arc<VersionedConfig>>, as_of: u64) {
        let mut base = state;
        for (offset, record) in std::mem::take(&mut self.held) {
            if offset <= as_of {
                continue;
            }
            if let Ok(state) = judge(base.as_deref(), offset, &record) {
                base = Some(Arc::new(state));
            }
        }
        if let Some(state) = &base {
            self.serve(state.clone());
        }
        self.base = Some(base);
    }

    fn serve(&mut self, state: Arc<VersionedConfig>) {
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
    fn deserialize_ref(data: &Value) -> Option<Self> {
        serde::Deserialize::deserialize(data).ok()
    }
}

fn version_of(state: Option<&VersionedConfig>) -> u64 {
    state.map_or(0, |state| state.version)
}

/// Judges a proposal against the state before it.
fn judge(
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
