//! A pool of idle connections to backend servers.

use std::{collections::HashMap, net::SocketAddr};

use fuchsiabay_base::{InstanceId, Timestamp};
use fuchsiabay_runtime::monotonic_now;
use parking_lot::Mutex;

use super::{Connection, Failure, FailureKind};

/// The maximum number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 12;

/// Idle connections, the most recently used last. The key includes the server id, because an address may be reassigned to
/// another server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<(InstanceId, SocketAddr), Vec<Connection>>>,
}

impl ConnectionPool {
    /// Returns an idle connection to the server, or opens one.
    pub(crate) async fn take(
        &self,
        server: &InstanceId,
        addr: SocketAddr,
        is_idempotent: bool,
    ) -> Result<Connection, Failure> {
        while let Some(mut connection) = self.pop_idle(server, addr, is_idempotent) {
            if connection.socket.is_idle().await {
                return Ok(connection);
            }
        }
        metrics::counter!("fuchsiabay_backend_connections_opened_total").increment(1);
        Connection::open(addr).await.map_err(|error| {
            log::debug!("backend: cannot connect to {server} at {addr}: {error}");
            Failure::not_run(FailureKind::Connect)
        })
    }

    /// Returns a connection to the pool, or closes it if the pool has enough for its server.
    pub(crate) fn put(&self, server: &InstanceId, addr: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock();
        let connections = idle.entry((server.clone(), addr)).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(connection);
        }
    }

    /// Closes the connections that have expired.
    pub(crate) fn expire(&self, now: Timestamp) {
        self.idle.lock().retain(|_, connections| {
            connections.retain(|connection| connection.is_usable(true, now));
            !connections.is_empty()
        });
    }

    fn pop_idle(&self, server: &InstanceId, addr: SocketAddr, is_idempotent: bool) -> Option<Connection> {
        let now = monotonic_now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&(server.clone(), addr))?;
        connections.retain(|connection| connection.is_usable(true, now));
        let is_usable = connections.last()?.is_usable(is_idempotent, now);
        if is_usable { connections.pop() } else { None }
    }
}
