//! The pool of one service: its backend servers, as this instance sees them, and the requests that wait for a slot.

mod admission;
mod cold;
mod commands;
mod concurrency_limit;
mod fair_order;
mod grant;
mod job;
mod lockstep;
mod member;
mod placement;
mod queries;
mod status;
mod step_times;
mod too_slow;
mod traffic;
mod wait_queue;
mod zone_choice;
mod zone_drain;

use std::collections::BTreeSet;

use fuchsiabay_base::{Timestamp, ZoneName};

use self::{
    lockstep::Lockstep,
    member::Member,
    placement::{CrossZoneTraffic, ZoneSpill},
    too_slow::Probe,
    traffic::Traffic,
    wait_queue::WaitQueue,
};
use crate::{
    EngineProfile, FairShares, ReportedDemand, ServerPreference, cold_starts::ColdStarts,
    statements::Statements,
};

pub use admission::{Admission, Refusal, RefusalReason};
pub use concurrency_limit::{ConcurrencyLimit, LimitState, LimitStatus};
pub use fair_order::FairShareCounts;
pub use grant::Grant;
pub use job::{ExpectedStream, Job, JobId};
pub use placement::{CrossZoneChange, CrossZoneReason};
pub use status::{PoolStatus, ServerStatus, ZoneStatus};
pub use step_times::{StepTime, StepTimes};
pub use zone_drain::ZoneDrainChange;

/// The initial estimate of the time to the first byte of a response, in milliseconds.
const INITIAL_FIRST_BYTE_MS: f64 = 100.0;

/// The initial estimate of the time for which a request occupies its slot, in milliseconds.
const INITIAL_HOLDING_MS: f64 = 500.0;

/// The pool of one service. It decides which server runs a request, which requests wait and which are refused.
#[derive(Debug)]
pub struct Pool {
    zone: ZoneName,
    engine: Option<EngineProfile>,
    members: Vec<Member>,
    queue: WaitQueue,
    statements: Statements,
    drained_zones: BTreeSet<ZoneName>,
    cold: ColdStarts,
    traffic: Traffic,
    lockstep: Lockstep,
    /// The last request that was let through to a slow group.
    probe: Option<Probe>,
    shares: FairShares,
    fair_share_counts: FairShareCounts,
    /// The demand of the other instances.
    reported: ReportedDemand,
    /// The fraction of the slots in use that this instance uses, and thus of the slots that it leaves to other instances.
    own_usage_fraction: f64,
    /// Added to the number of slots that are left to other instances before it is rounded down.
    rounding_offset: f64,
    /// Whether a rank of a closed group cannot be reached.
    has_unreachable_rank: bool,
    /// The number of instances that share the servers.
    instances: usize,
    next_job: u64,
    /// When any server last started a response.
    last_response_at: Timestamp,
    server_preference: ServerPreference,
    zone_spill: ZoneSpill,
    cross_zone_traffic: CrossZoneTraffic,
}

impl Pool {
    /// Creates an empty pool for an instance in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            engine: None,
            members: Vec::new(),
            queue: WaitQueue::default(),
            statements: Statements::default(),
            drained_zones: BTreeSet::new(),
            cold: ColdStarts::default(),
            traffic: Traffic::new(INITIAL_FIRST_BYTE_MS, INITIAL_HOLDING_MS),
            lockstep: Lockstep::default(),
            probe: None,
            shares: FairShares::default(),
            fair_share_counts: FairShareCounts::default(),
            reported: ReportedDemand::default(),
            own_usage_fraction: 0.0,
            rounding_offset: 0.0,
            has_unreachable_rank: false,
            instances: 1,
            next_job: 0,
            last_response_at: Timestamp::ZERO,
            server_preference: ServerPreference::default(),
            zone_spill: ZoneSpill::default(),
            cross_zone_traffic: CrossZoneTraffic::default(),
        }
    }
}
