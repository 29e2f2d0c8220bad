//! The backend servers of one service, as one instance sees them, and the requests that wait for them.

mod admission;
mod commands;
mod demand;
mod grant;
mod job;
mod member;
mod queries;
mod snapshot;
mod waiting;

use fuchsiabay_base::{Timestamp, ZoneName};

use self::{demand::Demand, member::Member, waiting::Waiting};
use crate::EngineProfile;

pub use admission::{Admission, Refusal, RefusalReason};
pub use grant::Grant;
pub use job::{Job, JobId};
pub use snapshot::{PoolSnapshot, ServerSnapshot};

/// The pool of one service. It decides which server runs a request, which requests wait, and which are refused.
#[derive(Debug)]
pub struct Pool {
    zone: ZoneName,
    engine: Option<EngineProfile>,
    members: Vec<Member>,
    waiting: Waiting,
    demand: Demand,
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
            demand: Demand::default(),
            next_job: 0,
            answered_at: Timestamp::ZERO,
        }
    }
}
