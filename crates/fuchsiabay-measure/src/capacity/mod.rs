//! Memory, processor time and bytes of the state and messages of each role, as slopes over at least three sizes.

mod connections;
mod messages;
mod slope;
mod state;

use std::fmt;

use serde::Serialize;

pub(crate) use slope::{Slope, measure};

/// What was measured.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Capacity {
    /// Memory and processor time by item.
    slopes: Vec<Slope>,
    /// Bytes on the wire by message, frames included and TCP headers not.
    messages: Vec<(&'static str, usize)>,
}

/// Measures the state and messages of each role.
pub fn capacity() -> Capacity {
    let mut slopes = state::slopes();
    slopes.push(connections::slope());
    let sizes = [10_000, 100_000, 1_000_000];
    slopes.push(measure("both: token as binary frame, encoded and decoded", sizes, messages::binary_tokens));
    slopes.push(measure(
        "weighed: token as JSON-RPC notification, encoded and decoded",
        sizes,
        messages::json_tokens,
    ));
    Capacity { slopes, messages: messages::sizes() }
}

impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for slope in &self.slopes {
            writeln!(f, "{slope}")?;
        }
        for (message, bytes) in &self.messages {
            writeln!(f, "message {message}: {bytes} bytes")?;
        }
        Ok(())
    }
}
