//! Orders.

use fuchsiabay_base::Timestamp;
use serde::{Deserialize, Serialize};

/// What an order sets. Each kind is one value of the engine, so that orders of a kind replace each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// The model.
    LoadModel,
    /// The adapter.
    LoadAdapter,
    /// The version of the model.
    LoadVersion,
    /// The role in disaggregated serving.
    SetRole,
}

/// An order as operators append it to the log. Its offset becomes the fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRecord {
    /// What to set.
    pub kind: OrderKind,
    /// The value.
    pub target: String,
    /// The order is not sent after this point, in milliseconds of the Unix epoch.
    pub deadline_ms: Timestamp,
}

/// An absolute order: it states the value to be reached and not a change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Order {
    /// What to set.
    pub kind: OrderKind,
    /// The value.
    pub target: String,
    /// The fencing token.
    pub fence: u64,
    /// The order is not sent after this point.
    pub deadline: Timestamp,
}

impl OrderRecord {
    /// Returns the order of the record at `offset`.
    pub fn into_order(self, offset: u64) -> Order {
        Order { kind: self.kind, target: self.target, fence: offset, deadline: self.deadline_ms }
    }
}

/// Why an order was not accepted. It was not sent and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum OrderRefusal {
    /// An order with the same or a higher token came before.
    #[error("the fencing token is not above {high_water}")]
    Stale {
        /// The highest token so far.
        high_water: u64,
    },
}
