//! A granted slot at a server.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;

use super::CrossZoneReason;
use crate::{ServerRecord, Workspace};

/// A granted slot at a server. It is released with `Pool::finish`.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The server.
    pub server: Arc<ServerRecord>,
    /// The workspace that the slot is accounted to.
    pub workspace: Option<Arc<Workspace>>,
    /// When the slot was granted.
    pub granted_at: Timestamp,
    /// The tokens that the request is expected to hold in the engine's KV cache.
    pub tokens: u64,
    /// The estimated number of requests at the server, including this one.
    pub load: u32,
    /// The age of the last load report on which the estimate is based, in milliseconds. `None` without a report.
    pub load_age_ms: Option<u64>,
    /// Why the server is in another zone than this instance. `None` if it is not, or if the zone was not considered.
    pub cross_zone_reason: Option<CrossZoneReason>,
}
