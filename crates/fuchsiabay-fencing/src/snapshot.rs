//! Dumps of the gate's state.

use serde::Serialize;

use crate::{EngineState, Order};

/// The whole state, for operators.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct GateSnapshot {
    /// The highest token so far.
    pub high_water: Option<u64>,
    /// The orders in force, one for each kind.
    pub targets: Vec<TargetSnapshot>,
    /// The state of the engine as it was last read, unless a later outcome is unknown.
    pub engine: Option<EngineState>,
    /// Whether a send or a read-back is outstanding.
    pub outstanding: bool,
    /// Whether the engine refused the present token as old, because another sender has issued a higher one.
    pub fenced_off: bool,
}

/// An order in force.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct TargetSnapshot {
    /// The order.
    pub order: Order,
    /// Whether the engine is known to have the value.
    pub reached: bool,
    /// Whether the deadline passed, after which the order is not sent any more.
    pub expired: bool,
}
