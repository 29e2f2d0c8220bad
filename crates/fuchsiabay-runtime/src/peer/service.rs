//! The methods that a process serves to its peers.

use std::sync::Arc;

use jsonrpsee::Methods;

use crate::Peer;

/// Serves remote calls to authenticated peers.
pub trait PeerService: Send + Sync + 'static {
    /// Returns the methods that `peer` may call. They may keep the handle to send frames to the peer.
    fn methods(self: &Arc<Self>, peer: &Peer) -> Methods;
}
