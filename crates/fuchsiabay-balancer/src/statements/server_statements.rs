//! What one incarnation of a server has stated.

use fuchsiabay_base::Timestamp;

use super::{pause::Pause, rate_limit::RateLimit};

/// What one incarnation of a server has stated.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerStatements {
    /// When the incarnation started, in milliseconds since the Unix epoch.
    pub(super) started_at_ms: u64,
    pub(super) is_leaving: bool,
    pub(super) pause: Option<Pause>,
    /// The pace of this instance's requests, if the server states a limit.
    pub(super) rate_limit: Option<RateLimit>,
    /// When the statements are forgotten. None while the server is listed.
    pub(super) expires_at: Option<Timestamp>,
}

impl ServerStatements {
    pub(super) const fn new(started_at_ms: u64) -> Self {
        Self { started_at_ms, is_leaving: false, pause: None, rate_limit: None, expires_at: None }
    }
}
