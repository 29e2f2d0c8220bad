//! Orders to the engine stand-in.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::FencingMode;

/// An absolute order: `kind` says what to set and `target` to which value.
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

/// What the orders so far have set, for read-back.
#[derive(Debug, Default)]
#[derive(Serialize)]
pub(crate) struct Orders {
    highest_fence: u64,
    targets: BTreeMap<OrderKind, Order>,
    accepted: u64,
    refused: u64,
}

impl Orders {
    /// Carries out `order`, unless its fencing number is old and `fencing` checks it.
    pub(crate) fn apply(&mut self, order: Order, fencing: FencingMode) -> Result<(), u64> {
        if fencing == FencingMode::Check && order.fence < self.highest_fence {
            self.refused += 1;
            return Err(self.highest_fence);
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        self.accepted += 1;
        self.targets.insert(order.kind, order);
        Ok(())
    }
}
