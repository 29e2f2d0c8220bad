//! The connections over which an entry instance pulls the configuration.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use fuchsiabay_base::InstanceId;
use fuchsiabay_runtime::{Identity, Instance, Peer, PeerService, monotonic_now};
use fuchsiabay_wire::{Role, SharedKey};
use parking_lot::Mutex;

/// The timeout of opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Keeps one connection to each entry instance that this process pulls from.
#[derive(Debug)]
pub(crate) struct PeerConnections<S> {
    own_identity: Identity,
    key: SharedKey,
    service: Arc<S>,
    addresses: Mutex<HashMap<InstanceId, SocketAddr>>,
    peers: Mutex<HashMap<InstanceId, Peer>>,
}

impl<S: PeerService> PeerConnections<S> {
    pub(crate) fn new(own_identity: Identity, key: SharedKey, service: Arc<S>) -> Self {
        Self { own_identity, key, service, addresses: Mutex::default(), peers: Mutex::default() }
    }

    /// Updates the addresses of the entry instances from the instance list.
    pub(crate) fn update_addresses(&self, instances: &[Instance]) {
        let entries = instances.iter().filter(|instance| instance.role == Role::Entry);
        *self.addresses.lock() = entries.map(|instance| (instance.id.clone(), instance.peer)).collect();
    }

    /// Returns the open connection to `target`, or opens one. Returns `None` if that fails or the address is unknown.
    pub(crate) async fn get_or_connect(&self, target: &InstanceId) -> Option<Peer> {
        if let Some(peer) = self.peers.lock().get(target).filter(|peer| !peer.is_closed()) {
            return Some(peer.clone());
        }
        let addr = *self.addresses.lock().get(target)?;
        let deadline = monotonic_now().plus_millis(CONNECT_TIMEOUT_MS);
        let service = Arc::clone(&self.service);
        match Peer::connect(addr, &self.own_identity, &self.key, service, deadline).await {
            Ok(peer) => {
                self.peers.lock().insert(target.clone(), peer.clone());
                Some(peer)
            }
            Err(error) => {
                log::debug!("config: cannot connect to {target}: {error}");
                None
            }
        }
    }

    /// Closes the connections to instances that are not in `targets` and drops those that are already closed.
    pub(crate) fn retain(&self, targets: &[InstanceId]) {
        self.peers.lock().retain(|id, peer| {
            let keep = targets.contains(id) && !peer.is_closed();
            if !keep {
                peer.close();
            }
            keep
        });
    }
}
