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
