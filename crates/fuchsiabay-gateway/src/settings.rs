//! What the library must be told at its start.

use std::net::SocketAddr;

use fuchsiabay_balancer::RetryLimits;
use fuchsiabay_base::{InstanceId, ZoneName};
use fuchsiabay_wire::SharedKey;

use crate::HeaderNames;

/// The settings of a gateway, checked before.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it accepts callers.
    pub listen: SocketAddr,
    /// Where it serves readiness, metrics and state.
    pub ops_listen: SocketAddr,
    /// Where it serves the same again, for a collector of metrics.
    pub metrics_listen: SocketAddr,
    /// Where it takes calls of other entry instances.
    pub peer_listen: SocketAddr,
    /// Where other entry instances may be found before any is known.
    pub seeds: Vec<SocketAddr>,
    /// The key that all entry instances share.
    pub shared_key: SharedKey,
    /// Header names of the deployment.
    pub header_names: &'static HeaderNames,
    /// What may change while it runs.
    pub live: LiveSettings,
    /// Threads that run the work.
    pub threads: usize,
}

/// The settings that may change while a gateway runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LiveSettings {
    /// The retry budget that all instances share.
    pub retries: RetryLimits,
    /// The longest time from the order to stop until the process ends, in milliseconds.
    pub stop_timeout_ms: u64,
    /// Open connections of callers.
    pub max_connections: usize,
}
