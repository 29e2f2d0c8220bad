//! Connections to neighbours.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::{Identity, Peer, monotonic_now};
use fuchsiabay_wire::SharedKey;

use super::NeighbourService;

/// The time that a connection may take, in milliseconds.
const CONNECT_MS: u64 = 600;

/// The pause after a failed connection, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Connections to neighbours, opened when they are needed.
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

    /// Returns the connection to `addr`, opening it if there is none and none failed lately.
    pub(super) async fn peer(&mut self, addr: SocketAddr) -> Option<Peer> {
        if let Some(peer) = self.peers.get(&addr).filter(|peer| !peer.is_closed()) {
            return Some(peer.clone());
        }
        let now = monotonic_now();
        if self.retry_at.get(&addr).is_some_and(|at| *at > now) {
            return None;
        }
        let deadline = now.plus_millis(CONNECT_MS);
        match Peer::connect(addr, &self.identity, &self.key, self.service.clone(), deadline).await {
            Ok(peer) => {
                self.retry_at.remove(&addr);
                self.peers.insert(addr, peer.clone());
                Some(peer)
            }
            Err(error) => {
                log::debug!("neighbours: cannot connect to {addr}: {error}");
                self.retry_at.insert(addr, now.plus_millis(RETRY_MS));
                None
            }
        }
    }

    /// Drops a connection that gave no reply. It may be silent for good while a new one works.
    pub(super) fn drop_peer(&mut self, addr: SocketAddr) {
        if let Some(peer) = self.peers.remove(&addr) {
            peer.close();
        }
    }

    /// Drops the connections to instances that are not among `addrs`.
    pub(super) fn retain(&mut self, addrs: &[SocketAddr]) {
        self.peers.retain(|addr, _| addrs.contains(addr));
    }
}
