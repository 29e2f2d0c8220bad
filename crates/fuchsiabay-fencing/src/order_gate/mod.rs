//! The gate that every order to one engine passes.

mod commands;
mod queries;

use std::collections::BTreeMap;

use fuchsiabay_base::Timestamp;

use crate::{EngineState, Order, OrderKind};

/// The pause after a failed send or read-back, in milliseconds. An engine that restarts takes seconds, and the gate
/// must not add to its load.
const RETRY_MS: u64 = 500;

/// The gate of one engine.
///
/// A new gate knows nothing about the engine, so it reads the state before it sends anything.
#[derive(Clone, Debug, Default)]
pub struct OrderGate {
    high_water: Option<u64>,
    /// The order in force of each kind.
    targets: BTreeMap<OrderKind, Order>,
    /// None stands for an unknown state.
    engine: Option<EngineState>,
    outstanding: Option<Outstanding>,
    /// The engine changed during the outstanding read-back, whose result is therefore void.
    read_void: bool,
    retry_at: Timestamp,
    /// The highest token that was sent, for the check that it never falls.
    sent_fence: u64,
    /// The token that the engine refused as old. Orders wait for a higher one.
    refused_fence: Option<u64>,
}

/// What the caller has in hand.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outstanding {
    Read,
    Send { kind: OrderKind, target: String },
}

/// What the gate asks its caller to do. The answer is awaited before the next command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateCommand {
    /// Reads the state of the engine, and reports it by [`OrderGate::state_read`] or [`OrderGate::read_failed`].
    ReadBack,
    /// Sends the order at once, and reports the outcome by [`OrderGate::send_finished`]. The deadline was checked for this
    /// moment; the time until the engine receives the order is the window that remains.
    Send(Order),
}

/// What became of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The engine confirmed the order.
    Applied,
    /// The engine refused the token as old.
    Stale,
    /// The engine provably did not receive or not accept the order.
    NotApplied,
    /// Nobody knows.
    Unknown,
}
