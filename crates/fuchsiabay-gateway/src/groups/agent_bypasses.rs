//! The agents that are bypassed because they did not respond.

use std::{collections::HashMap, net::SocketAddr};

use fuchsiabay_base::Timestamp;
use parking_lot::Mutex;

/// The time for which an unresponsive agent is bypassed, in milliseconds.
const BYPASS_MS: u64 = 2_000;

/// The agents that did not respond, with the time until which their engines are called directly.
#[derive(Debug, Default)]
pub struct AgentBypasses(Mutex<HashMap<SocketAddr, Timestamp>>);

impl AgentBypasses {
    /// Records that the agent at `addr` did not respond.
    pub fn record_unresponsive(&self, addr: SocketAddr, now: Timestamp) {
        self.0.lock().insert(addr, now.plus_millis(BYPASS_MS));
    }

    /// Returns whether the engine beside the agent at `addr` is called directly.
    pub fn contains(&self, addr: SocketAddr, now: Timestamp) -> bool {
        self.0.lock().get(&addr).is_some_and(|until| *until > now)
    }
}
