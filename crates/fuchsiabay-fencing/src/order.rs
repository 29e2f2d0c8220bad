//! Orders to an engine.

use fuchsiabay_base::Timestamp;
use serde::{Deserialize, Serialize};

/// The value that an order sets. An engine has one value of each kind, so a later order replaces earlier ones of the
/// same kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// The loaded model.
    LoadModel,
    /// The loaded adapter.
    LoadAdapter,
    /// The loaded version of the model.
    LoadVersion,
    /// The role in disaggregated serving.
    SetRole,
}

/// An order as operators append it to the log. The offset of the record becomes the fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRecord {
    /// The kind of value to set.
    pub kind: OrderKind,
    /// The value to set.
    pub target: String,
    /// The time from which the order is no longer sent, in milliseconds since the Unix epoch.
    pub deadline_ms: Timestamp,
}

/// An absolute order to an engine: it states the target value and not a change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Order {
    /// The kind of value to set.
    pub kind: OrderKind,
    /// The value to set.
    pub target: String,
    /// The fencing token.
    pub fence: u64,
    /// The time from which the order is no longer sent.
    pub deadline: Timestamp,
}

impl OrderRecord {
    /// Returns the order of the record at `offset`.
    pub fn into_order(self, offset: u64) -> Order {
        Order { kind: self.kind, target: self.target, fence: offset, deadline: self.deadline_ms }
    }
}

/// Why an order was refused. The order was not sent and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum OrderRefusal {
    /// An order with the same or a higher fencing token was accepted before.
    #[error("the fencing token is not above {high_water}")]
    Stale {
        /// The highest fencing token accepted so far.
        high_water: u64,
    },
}
