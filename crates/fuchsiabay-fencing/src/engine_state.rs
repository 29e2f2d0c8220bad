//! The state that an engine reports.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::OrderKind;

/// The values of an engine, as read back from it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineState {
    /// The value of each kind. Kinds that were never set are missing.
    pub values: BTreeMap<OrderKind, String>,
    /// The highest fencing token that the engine has seen. `None` if it does not track tokens.
    pub highest_fence: Option<u64>,
}
