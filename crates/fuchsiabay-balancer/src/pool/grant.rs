//! A place at a server.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;

use crate::ServerRecord;

/// A place at a server. It is given back with `Pool::finish`.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The server.
    pub server: Arc<ServerRecord>,
    /// When the place was taken.
    pub taken_at: Timestamp,
    /// Tokens counted against the server.
    pub tokens: u64,
    /// Requests that were believed to be at the server, this one included.
    pub load: u32,
    /// The age of the newest foreign report of that load, in milliseconds. None when there is none.
    pub load_age_ms: Option<u64>,
}
