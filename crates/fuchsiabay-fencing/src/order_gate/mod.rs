//! The gate through which every order to an engine passes.

mod events;
mod queries;

use std::collections::BTreeMap;

use fuchsiabay_base::Timestamp;

use crate::{EngineState, Order, OrderKind};

/// The delay before the next command after a failed send or read-back, in milliseconds. A restarting engine takes
/// seconds, and retries must not add to its load.
const RETRY_DELAY_MS: u64 = 500;

/// The gate of one engine.
///
/// A new gate does not know the state of the engine, so it reads the state before it sends an order.
#[derive(Clone, Debug, Default)]
pub struct OrderGate {
    high_water: Option<u64>,
    /// The order in force of each kind.
    targets: BTreeMap<OrderKind, Order>,
    /// The state of the engine. `None` if it is unknown.
    engine: Option<EngineState>,
    outstanding: Option<Outstanding>,
    /// Whether the engine state was invalidated during the outstanding read-back, whose result is then discarded.
    read_invalidated: bool,
    retry_at: Timestamp,
    /// The fencing token sent last, for the check that it never decreases.
    last_sent_fence: u64,
    /// The fencing token that the engine refused as old. No command is issued until a newer order is accepted or the
    /// engine state is invalidated.
    refused_fence: Option<u64>,
}

/// The command whose outcome the caller has not reported yet.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outstanding {
    Read,
    Send { kind: OrderKind, target: String },
}

/// What the gate asks its caller to do. The gate issues no further command until the outcome is reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateCommand {
    /// Read the state of the engine, and report it with [`OrderGate::state_read`] or [`OrderGate::read_failed`].
    ReadBack,
    /// Send the order at once, and report the outcome with [`OrderGate::send_finished`].
    ///
    /// The deadline was checked at the time of this command. The engine may receive the order later than the deadline,
    /// by at most the time that the send takes.
    Send(Order),
}

/// The outcome of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The engine confirmed that it applied the order.
    Applied,
    /// The engine refused the fencing token as old.
    Stale,
    /// It is certain that the engine did not receive or did not accept the order.
    NotApplied,
    /// The engine may have applied the order, or may still apply it.
    Unknown,
}
