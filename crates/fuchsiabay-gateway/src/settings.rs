//! Settings that the embedding program passes in.

use std::net::SocketAddr;

use fuchsiabay_balancer::{ColdTolerance, RetryLimits};
use fuchsiabay_base::{InstanceId, ZoneName};
use fuchsiabay_wire::SharedKey;

use crate::HeaderNames;

/// The settings of a gateway. The library expects them to be valid.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Id of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address that serves readiness, metrics and state.
    pub ops_listen: SocketAddr,
    /// Second address that serves the same endpoints, for a metrics collector.
    pub metrics_listen: SocketAddr,
    /// Address on which other entry instances connect.
    pub peer_listen: SocketAddr,
    /// Addresses at which other entry instances are contacted while none are known.
    pub seeds: Vec<SocketAddr>,
    /// Key that all entry instances share.
    pub shared_key: SharedKey,
    /// Header names of the deployment.
    pub header_names: &'static HeaderNames,
    /// By how much all instances together may exceed the rate that cold servers tolerate. None if it is not limited.
    pub cold_tolerance: Option<ColdTolerance>,
    /// Settings that can be changed at run time.
    pub live: LiveSettings,
    /// Number of executor threads.
    pub threads: usize,
}

/// The settings that can be changed while a gateway runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LiveSettings {
    /// Limits of the retry budget, which all instances share.
    pub retries: RetryLimits,
    /// Maximum time from the stop signal to the end of the process, in milliseconds.
    pub stop_timeout_ms: u64,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
}
