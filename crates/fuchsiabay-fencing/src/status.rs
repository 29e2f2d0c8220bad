//! The status of the gate, for state dumps.

use serde::Serialize;

use crate::{EngineState, Order};

/// The whole state of a gate, for operators.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct GateStatus {
    /// The highest fencing token accepted so far.
    pub high_water: Option<u64>,
    /// The orders in force, at most one of each kind.
    pub targets: Vec<TargetStatus>,
    /// The known state of the engine. `None` until it is read, and again after an unknown outcome or an invalidation.
    pub engine: Option<EngineState>,
    /// Whether a send or a read-back is outstanding.
    pub outstanding: bool,
    /// Whether the engine refused the current fencing token as old, because another sender issued a higher one.
    pub fenced_off: bool,
}

/// An order in force.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct TargetStatus {
    /// The order.
    pub order: Order,
    /// Whether the engine is known to have the target value.
    pub reached: bool,
    /// Whether the deadline of the order has passed, after which it is not sent.
    pub expired: bool,
}
