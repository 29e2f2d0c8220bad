//! The connection to an agent.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use fuchsiabay_routing::Server;
use fuchsiabay_runtime::Peer;

/// A backend server that attempts can be sent to.
pub(crate) type Target = Arc<Server<AgentConnection>>;

/// The connection to one incarnation of an agent.
#[derive(Debug)]
pub(crate) struct AgentConnection {
    peer: Peer,
    open_attempts: AtomicU32,
}

impl AgentConnection {
    pub(crate) fn new(peer: Peer) -> Self {
        Self { peer, open_attempts: AtomicU32::new(0) }
    }

    pub(crate) fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Returns the number of attempts of this instance that are open at the agent.
    pub(crate) fn open_attempts(&self) -> u32 {
        self.open_attempts.load(Ordering::Relaxed)
    }

    pub(crate) fn attempt_opened(&self) {
        self.open_attempts.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn attempt_closed(&self) {
        self.open_attempts.fetch_sub(1, Ordering::Relaxed);
    }
}
