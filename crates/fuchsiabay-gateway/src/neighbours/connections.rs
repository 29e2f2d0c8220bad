//! Connections to neighbours.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::{Identity, Peer, monotonic_now, spawn};
use fuchsiabay_wire::SharedKey;
use smol::channel::Receiver;

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
        let peer = connect(addr, &self.identity, &self.key, self.service.clone()).await;
        self.record(addr, peer.clone(), now);
        peer
    }

    /// Connects to all of `addrs` at the same time, so that those that do not respond do not delay the others. Sends the result of
    /// each attempt when it ends.
    pub(super) fn connect_all(&self, addrs: &[SocketAddr]) -> Receiver<(SocketAddr, Option<Peer>)> {
        let (tx, rx) = smol::channel::bounded(addrs.len().max(1));
        for addr in addrs.iter().copied() {
            let (identity, key, service) = (self.identity.clone(), self.key.clone(), self.service.clone());
            let tx = tx.clone();
            let attempt = async move {
                let peer = connect(addr, &identity, &key, service).await;
                if tx.send((addr, peer)).await.is_err() {
                    log::debug!("neighbours: nobody waits for the connection to {addr}");
                }
            };
            spawn(attempt).detach();
        }
        rx
    }

    /// Records the result of an attempt to connect to `addr` that began at `began_at`.
    pub(super) fn record(&mut self, addr: SocketAddr, peer: Option<Peer>, began_at: Timestamp) {
        match peer {
            Some(peer) => {
                self.retry_at.remove(&addr);
                self.peers.insert(addr, peer);
            }
            None => {
                self.retry_at.insert(addr, began_at.plus_millis(RETRY_DELAY_MS));
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

async fn connect(
    addr: SocketAddr,
    identity: &Identity,
    key: &SharedKey,
    service: Arc<NeighbourService>,
) -> Option<Peer> {
    let deadline = monotonic_now().plus_millis(CONNECT_TIMEOUT_MS);
    let peer = Peer::connect(addr, identity, key, service, deadline).await;
    peer.inspect_err(|error| log::debug!("neighbours: cannot connect to {addr}: {error}")).ok()
}
