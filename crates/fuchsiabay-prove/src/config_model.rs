//! What the configuration ought to be, reduced independently of the code under test.

use std::collections::BTreeMap;

use fuchsiabay_base::Timestamp;

/// A change as the checker sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Document(u32),
    Preset(String),
}

/// An accepted version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Accepted {
    pub(crate) at: Timestamp,
    pub(crate) mark: u32,
    pub(crate) preset: String,
    /// When a process first had it in force.
    pub(crate) known_at: Option<Timestamp>,
}

/// The accepted versions in log order.
#[derive(Debug, Default)]
pub(crate) struct Model {
    pub(crate) accepted: BTreeMap<u64, Accepted>,
    /// The version of each accepted proposal.
    pub(crate) by_publish: BTreeMap<usize, u64>,
}

impl Model {
    pub(crate) fn current(&self) -> u64 {
        self.accepted.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// Applies a proposal that the log took.
    pub(crate) fn apply(
        &mut self,
        at: Timestamp,
        offset: u64,
        publish: usize,
        based_on: u64,
        change: &Change,
    ) {
        if based_on != self.current() {
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
        self.by_publish.insert(publish, offset + 1);
    }

    pub(crate) fn note_known(&mut self, now: Timestamp, version: u64) {
        for (_, accepted) in self.accepted.range_mut(..=version).rev() {
            if accepted.known_at.is_some() {
                return;
            }
            accepted.known_at = Some(now);
        }
    }
}
