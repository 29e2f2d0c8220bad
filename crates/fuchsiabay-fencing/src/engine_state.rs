//! What an engine reports about itself.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::OrderKind;

/// The values that an engine has, as read back from it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineState {
    /// The value of each kind. A kind that was never set is missing.
    pub values: BTreeMap<OrderKind, String>,
    /// The highest token that the engine has seen, if it keeps one.
    pub highest_fence: Option<u64>,
}
