//! What the configuration states about cold servers of a service.

use serde::{Deserialize, Serialize};

/// How long the servers of a service are cold after a start, and what they tolerate meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a server is cold, in milliseconds.
    pub cold_start_ms: u64,
    /// The number of requests a second from all instances that a cold server tolerates.
    pub cold_per_s: f64,
}
