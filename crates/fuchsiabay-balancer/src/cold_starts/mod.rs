//! Cold servers: which servers tolerate only a low rate of requests for now, and this instance's share of that rate.
//!
//! The state of a server outlasts its membership in the pool, because a server that disappears and returns may be cold. Nothing
//! here takes effect without limits.

mod cold_server;
mod cold_start;
mod commands;
mod events;
mod limits;
mod queries;
mod send_window;

use std::collections::HashMap;

use fuchsiabay_base::{InstanceId, Timestamp};

use self::cold_server::ColdServer;
use crate::Sharers;

pub use cold_start::ColdStart;
pub use events::{ColdEvents, ColdReason, ColdServerEvent};
pub use limits::{ColdStartLimits, ColdTolerance};
pub use queries::ColdStatus;

/// The time in which an instance sends at most its share of requests to a cold server, in milliseconds. It is longer than one second
/// by the difference that the delays of two requests may have on their way to the server.
pub(crate) const SHARE_WINDOW_MS: u64 = 1_100;

/// The age up to which a grant counts from the time when it was granted, in milliseconds. It is half of what the window exceeds one
/// second by; the other half is for the network. An older grant must fit into the window again.
const MAX_GRANT_AGE_MS: u64 = 50;

/// The time over which the instances spread their first requests to a server that has become cold: half a window, in milliseconds.
/// They notice at about the same time that a group has reopened, and a rank that gets all their prompts at once delays the group.
const FIRST_SENDS_MS: u64 = SHARE_WINDOW_MS / 2;

/// The cold state of the servers of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdStarts {
    limits: Option<ColdStartLimits>,
    sharers: Sharers,
    by_server: HashMap<InstanceId, ColdServer>,
    /// When the servers were first listed. No request was sent earlier.
    first_listed_at: Option<Timestamp>,
    events: ColdEvents,
}
