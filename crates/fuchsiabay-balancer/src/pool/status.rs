//! The status of a pool, for state dumps.

use fuchsiabay_base::{InstanceId, Timestamp};
use serde::Serialize;

use super::{CrossZoneReason, LimitStatus};
use crate::{ColdStatus, FairSharesStatus};

/// The status of one server of a pool.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ServerStatus {
    /// The server.
    pub id: InstanceId,
    /// The number of this instance's requests at the server.
    pub own: u32,
    /// The number of other instances' requests at the server, as far as known.
    pub others: u32,
    /// The end of the ejection, if the server is ejected.
    pub ejected_until: Option<Timestamp>,
    /// Whether the server states a limit for the requests a second of all instances.
    pub has_rate_limit: bool,
    /// Until when the server has stated that it wants no requests.
    pub paused_until: Option<Timestamp>,
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// Whether the zone of the server is drained.
    pub is_drained: bool,
    /// The cold state, if the server is cold.
    pub cold: Option<ColdStatus>,
}

/// Which requests this instance sends to other zones.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct ZoneStatus {
    /// Whether requests leave the zone until its usage is below the low mark.
    pub is_spilling: bool,
    /// The share of the requests that left the zone in the last complete second.
    pub cross_zone_share: f64,
    /// Why a request last left the zone.
    pub reason: Option<CrossZoneReason>,
}

/// The status of a pool.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct PoolStatus {
    /// The number of waiting requests.
    pub queued: usize,
    /// The concurrency limit of the servers, if they run in lockstep and a route has a goal for the time between two events.
    pub concurrency_limit: Option<LimitStatus>,
    /// The servers.
    pub servers: Vec<ServerStatus>,
    /// The servers that have stated that they are leaving.
    pub stated_leaving: Vec<InstanceId>,
    /// Which requests are sent to other zones.
    pub zone_choice: ZoneStatus,
    /// The rate of arrivals at all instances that can be on time, per second.
    pub on_time_arrivals_per_s: f64,
    /// The number of other instances that have reported their demand recently.
    pub demand_reporters: usize,
    /// The usage of the workspaces. `None` if the configuration has none.
    pub fair_shares: Option<FairSharesStatus>,
}
