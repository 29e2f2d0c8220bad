//! The backend servers of one service, as one instance sees them, and the requests that wait for them.

mod admission;
mod commands;

mod grant;
mod job;
mod member;
mod queries;
mod snapshot;
mod traffic;
mod waiting;

use fuchsiabay_base::{Timestamp, ZoneName};

use self::{member::Member, traffic::Traffic, waiting::Waiting};
use crate::EngineProfile;

pub use admission::{Admission, Refusal, RefusalReason};
pub use grant::Grant;
pub use job::{Job, JobId};
pub use snapshot::{PoolSnapshot, ServerSnapshot};

/// The time to a first byte that is assumed before one was measured, in milliseconds.
const USUAL_FIRST_MS: f64 = 100.0;

/// The time for which a request holds its place that is assumed before one was measured, in milliseconds.
const USUAL_HOLDING_MS: f64 = 500.0;

/// The pool of one service. It decides which server runs a request, which requests wait, and which are refused.
#[derive(Debug)]
pub struct Pool {
    zone: ZoneName,
    engine: Option<EngineProfile>,
    members: Vec<Member>,
    waiting: Waiting,
    traffic: Traffic,
    /// Whether a rank of a closed group cannot be reached.
    lacks_ranks: bool,
    /// Instances that share the servers.
    instances: usize,
    next_job: u64,
    /// When a server began a response last.
    answered_at: Timestamp,
}

impl Pool {
    /// Builds an empty pool for an instance in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            engine: None,
            members: Vec::new(),
            waiting: Waiting::default(),
            traffic: Traffic::new(USUAL_FIRST_MS, USUAL_HOLDING_MS),
            lacks_ranks: false,
            instances: 1,
            next_job: 0,
            answered_at: Timestamp::ZERO,
        }
    }
}
