//! A reference model of the configuration, which applies the records of the log independently of the code under test.

use std::collections::BTreeMap;

use fuchsiabay_base::Timestamp;

/// A proposed change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// A document with this mark.
    Document(u32),
    /// A switch to this preset.
    Preset(String),
}

/// An accepted version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Accepted {
    pub(crate) at: Timestamp,
    pub(crate) mark: u32,
    pub(crate) preset: String,
    /// When a process first had the version or a later one in force.
    pub(crate) known_at: Option<Timestamp>,
}

/// The reference model.
#[derive(Debug, Default)]
pub(crate) struct Model {
    /// The accepted versions in the order of the log.
    pub(crate) accepted: BTreeMap<u64, Accepted>,
    /// The version of each accepted proposal, by the index of the proposal.
    pub(crate) by_proposal: BTreeMap<usize, u64>,
}

impl Model {
    /// Returns the latest accepted version, or zero.
    pub(crate) fn current_version(&self) -> u64 {
        self.accepted.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// Applies a proposal that was appended to the log.
    pub(crate) fn apply(
        &mut self,
        at: Timestamp,
        offset: u64,
        proposal: usize,
        based_on: u64,
        change: &Change,
    ) {
        if based_on != self.current_version() {
            return;
        }
        let (mark, preset) = match (change, self.accepted.values().last()) {
            (Change::Document(0), _) | (Change::Preset(_), None) => return,
            (Change::Document(mark), last) => {
                (*mark, last.map_or("ordinary", |last| last.preset.as_str()).to_owned())
            }
            (Change::Preset(name), Some(last)) if name == "ordinary" || name == "peak" => {
                (last.mark, name.clone())
            }
            (Change::Preset(_), Some(_)) => return,
        };
        self.accepted.insert(offset + 1, Accepted { at, mark, preset, known_at: None });
        self.by_proposal.insert(proposal, offset + 1);
    }

    /// Marks `version` and all earlier versions as known by a process.
    pub(crate) fn mark_known(&mut self, now: Timestamp, version: u64) {
        for (_, accepted) in self.accepted.range_mut(..=version).rev() {
            if accepted.known_at.is_some() {
                return;
            }
            accepted.known_at = Some(now);
        }
    }
}
