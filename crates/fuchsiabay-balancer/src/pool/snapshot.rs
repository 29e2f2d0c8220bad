//! What a pool shows its operators.

use fuchsiabay_base::{InstanceId, Timestamp};
use serde::Serialize;

/// One server of a pool.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ServerSnapshot {
    /// The server.
    pub id: InstanceId,
    /// Requests of this instance at the server.
    pub own: u32,
    /// Requests of others, as far as they are known.
    pub others: u32,
    /// Until when it is ejected.
    pub ejected_until: Option<Timestamp>,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// The state of a pool.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct PoolSnapshot {
    /// Requests that wait.
    pub queued: usize,
    /// The servers.
    pub servers: Vec<ServerSnapshot>,
}
