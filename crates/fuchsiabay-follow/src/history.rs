//! The most recent changes of the configuration, for neighbours that are a few versions behind.

use std::collections::VecDeque;

use fuchsiabay_base::Fingerprint;
use fuchsiabay_config::VersionedConfig;
use fuchsiabay_wire::ConfigDelta;
use serde_json::Value;

/// The number of deltas that are kept. A neighbour that is further behind gets the full state.
const MAX_DELTAS: usize = 32;

/// The maximum size of a patch. Larger ones are not kept, because sending the full state costs little more.
const MAX_PATCH_BYTES: usize = 64 * 1024;

/// The deltas between successive versions, oldest first.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    deltas: VecDeque<ConfigDelta>,
}

impl ConfigHistory {
    /// Records the delta from `old` to `new`.
    pub fn record(&mut self, old: &VersionedConfig, new: &VersionedConfig) {
        let (Some(from), Some(to)) = (to_value(old), to_value(new)) else {
            return;
        };
        let Ok(patch) = serde_json::to_value(json_patch::diff(&from, &to)) else {
            return;
        };
        if patch.to_string().len() > MAX_PATCH_BYTES {
            self.deltas.clear();
            return;
        }
        self.push(ConfigDelta { from: old.version, to: new.version, patch });
    }

    /// Adds the deltas that a neighbour sent, for other instances that are as far behind as this process was.
    pub fn extend(&mut self, deltas: impl IntoIterator<Item = ConfigDelta>) {
        deltas.into_iter().for_each(|delta| self.push(delta));
    }

    /// Returns the deltas from `version` to the latest version, or `None` if some of them are missing.
    pub fn deltas_since(&self, version: u64) -> Option<Vec<ConfigDelta>> {
        let first = self.deltas.iter().position(|delta| delta.from == version)?;
        Some(self.deltas.range(first..).cloned().collect())
    }

    /// Applies `deltas` to `current` and returns the resulting state, or `None` if they do not apply or the result
    /// does not have the content hash `expected`.
    pub fn apply(
        current: &VersionedConfig,
        deltas: &[ConfigDelta],
        expected: Option<Fingerprint>,
    ) -> Option<VersionedConfig> {
        let mut value = to_value(current)?;
        let mut version = current.version;
        for delta in deltas {
            if delta.from != version {
                return None;
            }
            let patch: json_patch::Patch = serde_json::from_value(delta.patch.clone()).ok()?;
            json_patch::patch(&mut value, &patch).ok()?;
            version = delta.to;
        }
        let state: VersionedConfig = serde_json::from_value(value).ok()?;
        let is_expected = state.version == version && state_hash(&state)? == expected?;
        is_expected.then_some(state)
    }

    fn push(&mut self, delta: ConfigDelta) {
        if self.deltas.back().is_some_and(|last| last.to != delta.from) {
            self.deltas.clear();
        }
        if self.deltas.len() == MAX_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta);
    }
}

/// Returns the content hash of a state. All maps in it are ordered, so equal states serialize to equal bytes.
pub fn state_hash(state: &VersionedConfig) -> Option<Fingerprint> {
    let bytes = serde_json::to_vec(state).ok()?;
    Some(Fingerprint::of(&[&bytes]))
}

fn to_value(state: &VersionedConfig) -> Option<Value> {
    serde_json::to_value(state).ok()
}
