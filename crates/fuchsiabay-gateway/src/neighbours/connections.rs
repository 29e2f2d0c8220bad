//! Connections to neighbours.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::{Identity, Peer, monotonic_now};
use fuchsiabay_wire::SharedKey;

use super::NeighbourService;

/// Timeout for establishing a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 600;

/// Delay after a failed attempt to connect, in milliseconds.
const RETRY_DELAY_MS: u64 = 1_000;

/// Connections to neighbours, opened on demand.
pub(crate) struct NeighbourConnections {
    identity: Identity,
    key: SharedKey,
    service: Arc<NeighbourService>,
    peers: HashMap<SocketAddr, Peer>,
    retry_at: HashMap<SocketAddr, Timestamp>,
}

impl NeighbourConnections {
    pub(crate) fn new(identity: Identity, key: SharedKey, service: Arc<NeighbourService>) -> Self {
        Self { identity, key, service, peers: HashMap::new(), retry_at: HashMap::new() }
    }

    /// Returns the connection to `addr`. Opens it if needed, unless the last attempt failed a short time ago.
    pub(super) async fn peer(&mut self, addr: SocketAddr) -> Option<Peer> {
        if let Some(peer) = self.peers.get(&addr).filter(|peer| !peer.is_closed()) {
            return Some(peer.clone());
        }
        let now = monotonic_now();
        if self.retry_at.get(&addr).is_some_and(|at| *at > now) {
            return None;
        }
        let deadline = now.plus_millis(CONNECT_TIMEOUT_MS);
        match Peer::connect(addr, &self.identity, &self.key, self.service.clone(), deadline).await {
            Ok(peer) => {
                self.retry_at.remove(&addr);
                self.peers.insert(addr, peer.clone());
                Some(peer)
            }
            Err(error) => {
                log::debug!("neighbours: cannot connect to {addr}: {error}");
                self.retry_at.insert(addr, now.plus_millis(RETRY_DELAY_MS));
                None
            }
        }
    }

    /// Closes a connection on which a call failed, because it may never deliver another reply even though a new connection
    /// might.
    pub(super) fn close(&mut self, addr: SocketAddr) {
        if let Some(peer) = self.peers.remove(&addr) {
            peer.close();
        }
    }

    /// Drops the connections to instances other than `addrs`.
    pub(super) fn retain(&mut self, addrs: &[SocketAddr]) {
        self.peers.retain(|addr, _| addrs.contains(addr));
    }
}
