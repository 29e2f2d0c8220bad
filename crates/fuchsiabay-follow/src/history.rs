//! The last changes of the configuration, for neighbours that are a few versions behind.

use std::collections::VecDeque;

use fuchsiabay_base::Fingerprint;
use fuchsiabay_config::InForce;
use fuchsiabay_wire::ConfigStep;
use serde_json::Value;

/// Steps that are kept. A neighbour that is further behind takes the whole state.
const KEPT_STEPS: usize = 32;

/// A step with a larger patch is not kept, because the whole state costs little more.
const MAX_STEP_BYTES: usize = 64 * 1024;

/// Steps between successive versions, oldest first.
#[derive(Debug, Default)]
pub struct History {
    steps: VecDeque<ConfigStep>,
}

impl History {
    /// Records the change from `old` to `new`.
    pub fn record(&mut self, old: &InForce, new: &InForce) {
        let (Some(from), Some(to)) = (to_value(old), to_value(new)) else {
            return;
        };
        let Ok(patch) = serde_json::to_value(json_patch::diff(&from, &to)) else {
            return;
        };
        if patch.to_string().len() > MAX_STEP_BYTES {
            self.steps.clear();
            return;
        }
        self.push(ConfigStep { from: old.version, to: new.version, patch });
    }

    /// Keeps the steps that a neighbour sent. They serve others that are as far behind as this process was.
    pub fn extend(&mut self, steps: impl IntoIterator<Item = ConfigStep>) {
        steps.into_iter().for_each(|step| self.push(step));
    }

    /// Returns the steps from `version` to the last one, or `None` when they are not all known.
    pub fn since(&self, version: u64) -> Option<Vec<ConfigStep>> {
        let first = self.steps.iter().position(|step| step.from == version)?;
        Some(self.steps.range(first..).cloned().collect())
    }

    /// Returns the state that `steps` lead to from `current`, or `None` when they do not apply or lead to a state with
    /// another content hash.
    pub fn apply(current: &InForce, steps: &[ConfigStep], expected: Option<Fingerprint>) -> Option<InForce> {
        let mut value = to_value(current)?;
        let mut version = current.version;
        for step in steps {
            if step.from != version {
                return None;
            }
            let patch: json_patch::Patch = serde_json::from_value(step.patch.clone()).ok()?;
            json_patch::patch(&mut value, &patch).ok()?;
            version = step.to;
        }
        let state: InForce = serde_json::from_value(value).ok()?;
        let whole = state.version == version && hash(&state)? == expected?;
        whole.then_some(state)
    }

    fn push(&mut self, step: ConfigStep) {
        if self.steps.back().is_some_and(|last| last.to != step.from) {
            self.steps.clear();
        }
        if self.steps.len() == KEPT_STEPS {
            self.steps.pop_front();
        }
        self.steps.push_back(step);
    }
}

/// Returns the content hash of a state. Its maps are ordered, so that equal states have equal texts.
pub fn hash(state: &InForce) -> Option<Fingerprint> {
    let text = serde_json::to_vec(state).ok()?;
    Some(Fingerprint::of(&[&text]))
}

fn to_value(state: &InForce) -> Option<Value> {
    serde_json::to_value(state).ok()
}
