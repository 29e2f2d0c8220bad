//! Orders to the fake engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::FencingMode;

/// An order that sets the item `kind` to the value `target`. It is absolute, not relative to an earlier order.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Order {
    pub(crate) fence: u64,
    pub(crate) kind: OrderKind,
    pub(crate) target: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum OrderKind {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    SetRole,
}

/// The state that the applied orders have set. Agents read it back.
#[derive(Debug, Default)]
#[derive(Serialize)]
pub(crate) struct Orders {
    highest_fence: u64,
    targets: BTreeMap<OrderKind, Order>,
    accepted: u64,
    refused: u64,
}

impl Orders {
    /// Applies `order`, unless `fencing_mode` requires a check and its fencing token is old. The error is the highest
    /// token seen.
    pub(crate) fn apply(&mut self, order: Order, fencing_mode: FencingMode) -> Result<(), u64> {
        if fencing_mode == FencingMode::Check && order.fence < self.highest_fence {
            self.refused += 1;
            return Err(self.highest_fence);
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        self.accepted += 1;
        self.targets.insert(order.kind, order);
        Ok(())
    }
}
