//! A step of a script.

use serde::{Deserialize, Serialize};

/// An action and the time at which it happens.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Step<A> {
    /// Milliseconds after the start of the case.
    pub at_ms: u64,
    /// The action.
    #[serde(flatten)]
    pub action: A,
}

/// Returns the time of the last of `steps`, in milliseconds after the start of the case.
pub(crate) fn last_at_ms<A>(steps: &[Step<A>]) -> u64 {
    steps.iter().map(|step| step.at_ms).max().unwrap_or(0)
}
