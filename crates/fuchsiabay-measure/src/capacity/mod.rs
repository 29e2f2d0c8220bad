//! The memory and processor time of the state of each role, as slopes over three sizes, and the size of messages.

mod connections;
mod messages;
mod slope;
mod state;

use std::fmt;

use serde::Serialize;

pub(crate) use slope::{Slope, measure};

/// The measured costs.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Capacity {
    /// Memory and processor time of each kind of item.
    slopes: Vec<Slope>,
    /// The bytes of each message on the wire, including framing but not TCP headers.
    messages: Vec<(&'static str, usize)>,
}

/// Measures the cost of the state and messages of each role.
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
