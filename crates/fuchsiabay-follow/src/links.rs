//! Connections of an entry instance to the readers.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use fuchsiabay_base::InstanceId;
use fuchsiabay_runtime::{Identity, Instance, Peer, PeerService, monotonic_now};
use fuchsiabay_wire::{Role, SharedKey};
use parking_lot::Mutex;

/// The time that a connection may take, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Keeps one connection to each reader that this process pulls from.
#[derive(Debug)]
pub(crate) struct Links<S> {
    own: Identity,
    key: SharedKey,
    service: Arc<S>,
    addresses: Mutex<HashMap<InstanceId, SocketAddr>>,
    peers: Mutex<HashMap<InstanceId, Peer>>,
}

impl<S: PeerService> Links<S> {
    pub(crate) fn new(own: Identity, key: SharedKey, service: Arc<S>) -> Self {
        Self { own, key, service, addresses: Mutex::default(), peers: Mutex::default() }
    }

    /// Takes the addresses of the entry instances over.
    pub(crate) fn update(&self, instances: &[Instance]) {
        let entries = instances.iter().filter(|instance| instance.role == Role::Entry);
        *self.addresses.lock() = entries.map(|instance| (instance.id.clone(), instance.peer)).collect();
    }

    /// Returns the open connection to `reader`, or connects.
    pub(crate) async fn peer(&self, reader: &InstanceId) -> Option<Peer> {
        if let Some(peer) = self.peers.lock().get(reader).filter(|peer| !peer.is_closed()) {
            return Some(peer.clone());
        }
        let addr = *self.addresses.lock().get(reader)?;
        let deadline = monotonic_now().plus_millis(CONNECT_TIMEOUT_MS);
        let service = Arc::clone(&self.service);
        match Peer::connect(addr, &self.own, &self.key, service, deadline).await {
            Ok(peer) => {
                self.peers.lock().insert(reader.clone(), peer.clone());
                Some(peer)
            }
            Err(error) => {
                log::debug!("config: cannot connect to reader {reader}: {error}");
                None
            }
        }
    }

    /// Closes connections that are no longer wanted.
    pub(crate) fn retain(&self, wanted: &[InstanceId]) {
        self.peers.lock().retain(|reader, peer| {
            let keep = wanted.contains(reader) && !peer.is_closed();
            if !keep {
                peer.close();
            }
            keep
        });
    }
}
