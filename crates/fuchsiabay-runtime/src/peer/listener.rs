//! Accepts peer connections.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use fuchsiabay_wire::SharedKey;
use futures_lite::FutureExt;
use smol::{lock::Semaphore, net::TcpListener};

use super::{ConnectError, Identity, Peer, PeerService};
use crate::{monotonic_now, sleep_until, spawn};

/// The timeout of a handshake, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: u64 = 5_000;

/// The maximum number of concurrent handshakes. It bounds the resources that unauthenticated peers can use.
const MAX_CONCURRENT_HANDSHAKES: usize = 256;

/// The delay after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens for peer connections.
#[derive(Debug)]
pub struct PeerListener(TcpListener);

impl PeerListener {
    /// Binds `addr`. With port 0, the kernel chooses a free port.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        TcpListener::bind(addr).await.map(Self)
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Accepts connections and serves `service` to each peer that proves possession of `key`. Never returns.
    pub async fn serve<S: PeerService>(self, own: Identity, key: SharedKey, service: Arc<S>) {
        let handshakes = Arc::new(Semaphore::new(MAX_CONCURRENT_HANDSHAKES));
        let own = Arc::new(own);
        loop {
            let permit = handshakes.acquire_arc().await;
            let (socket, addr) = match self.0.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("peer: accept failed: {error}");
                    smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let (own, key, service) = (Arc::clone(&own), key.clone(), Arc::clone(&service));
            spawn(async move {
                let _permit = permit;
                let timeout = async {
                    sleep_until(monotonic_now().plus_millis(HANDSHAKE_TIMEOUT_MS)).await;
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
