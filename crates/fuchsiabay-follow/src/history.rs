//! The last changes of the configuration, for neighbours that are a few versions behind.

use std::collections::VecDeque;

use fuchsiabay_base::Fingerprint;
use fuchsiabay_config::VersionedConfig;
use fuchsiabay_wire::ConfigDelta;
use serde_json::Value;

/// Steps that are kept. A neighbour that is further behind takes the whole state.
const KEPT_STEPS: usize = 32;

/// A delta with a larger patch is not kept, because the whole state costs little more.
const MAX_STEP_BYTES: usize = 64 * 1024;

/// Steps between successive versions, oldest first.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    deltas: VecDeque<ConfigDelta>,
}

impl ConfigHistory {
    /// Records the change from `old` to `new`.
    pub fn record(&mut self, old: &VersionedConfig, new: &VersionedConfig) {
        let (Some(from), Some(to)) = (to_value(old), to_value(new)) else {
            return;
        };
        let Ok(patch) = serde_json::to_value(json_patch::diff(&from, &to)) else {
            return;
        };
        if patch.to_string().len() > MAX_STEP_BYTES {
            self.deltas.clear();
            return;
        }
        self.push(ConfigDelta { from: old.version, to: new.version, patch });
    }

    /// Keeps the deltas that a neighbour sent. They serve others that are as far behind as this process was.
    pub fn extend(&mut self, deltas: impl IntoIterator<Item = ConfigDelta>) {
        deltas.into_iter().for_each(|delta| self.push(delta));
    }

    /// Returns the deltas from `version` to the last one, or `None` when they are not all known.
    pub fn deltas_since(&self, version: u64) -> Option<Vec<ConfigDelta>> {
        let first = self.deltas.iter().position(|delta| delta.from == version)?;
        Some(self.deltas.range(first..).cloned().collect())
    }

    /// Returns the state that `deltas` lead to from `current`, or `None` when they do not apply or lead to a state with
    /// another content hash.
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
        let whole = state.version == version && state_hash(&state)? == expected?;
        whole.then_some(state)
    }

    fn push(&mut self, delta: ConfigDelta) {
        if self.deltas.back().is_some_and(|last| last.to != delta.from) {
            self.deltas.clear();
        }
        if self.deltas.len() == KEPT_STEPS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta);
    }
}

/// Returns the content hash of a state. Its maps are ordered, so that equal states have equal texts.
pub fn state_hash(state: &VersionedConfig) -> Option<Fingerprint> {
    let text = serde_json::to_vec(state).ok()?;
    Some(Fingerprint::of(&[&text]))
}

fn to_value(state: &VersionedConfig) -> Option<Value> {
    serde_json::to_value(state).ok()
}
