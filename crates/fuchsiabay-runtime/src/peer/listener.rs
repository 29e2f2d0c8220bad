//! Accepts connections of peers.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use fuchsiabay_wire::SharedKey;
use futures_lite::FutureExt;
use smol::{lock::Semaphore, net::TcpListener};

use super::{ConnectError, Identity, Peer, PeerService};
use crate::{monotonic_now, sleep_until, spawn};

/// The time that a peer has for the handshake, in milliseconds.
const HANDSHAKE_MS: u64 = 5_000;

/// Handshakes at the same time. It bounds what unauthenticated peers can make this process hold.
const HANDSHAKES: usize = 256;

/// The pause after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Listens for peers.
#[derive(Debug)]
pub struct PeerListener(TcpListener);

impl PeerListener {
    /// Binds `addr`. Port 0 lets the kernel choose.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        TcpListener::bind(addr).await.map(Self)
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Accepts connections for ever and serves `service` to each peer that proves that it holds `key`.
    pub async fn serve<S: PeerService>(self, own: Identity, key: SharedKey, service: Arc<S>) {
        let handshakes = Arc::new(Semaphore::new(HANDSHAKES));
        let own = Arc::new(own);
        loop {
            let permit = handshakes.acquire_arc().await;
            let (socket, addr) = match self.0.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("peer: accept failed: {error}");
                    smol::Timer::after(ACCEPT_RETRY).await;
                    continue;
                }
            };
            let (own, key, service) = (Arc::clone(&own), key.clone(), Arc::clone(&service));
            spawn(async move {
                let _permit = permit;
                let timeout = async {
                    sleep_until(monotonic_now().plus_millis(HANDSHAKE_MS)).await;
                    Err(ConnectError::DeadlinePassed)
                };
                match Peer::establish(socket, &own, &key, service).or(timeout).await {
                    Ok(peer) => log::debug!("peer: connection from {} at {addr}", peer.hello().instance),
                    Err(error) => log::warn!("peer: connection from {addr} refused: {error}"),
                }
            })
            .detach();
        }
    }
}
