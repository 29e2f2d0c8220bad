//! Idle connections to backend servers.

use std::{collections::HashMap, net::SocketAddr};

use fuchsiabay_base::{InstanceId, Timestamp};
use fuchsiabay_runtime::monotonic_now;
use parking_lot::Mutex;

use super::{Connection, Failure, FailureKind};

/// Idle connections that are kept of one server.
const MAX_IDLE_PER_SERVER: usize = 12;

/// The idle connections, newest last. The id belongs to the key, because an address may go to another server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<(InstanceId, SocketAddr), Vec<Connection>>>,
}

impl ConnectionPool {
    /// Returns a connection for one request: an idle one, or else a new one.
    pub(crate) async fn take(
        &self,
        server: &InstanceId,
        addr: SocketAddr,
        is_idempotent: bool,
    ) -> Result<Connection, Failure> {
        while let Some(mut connection) = self.pop(server, addr, is_idempotent) {
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

    /// Keeps an idle connection.
    pub(crate) fn put(&self, server: &InstanceId, addr: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock();
        let of_server = idle.entry((server.clone(), addr)).or_default();
        if of_server.len() < MAX_IDLE_PER_SERVER {
            of_server.push(connection);
        }
    }

    /// Drops the connections that have been idle for too long.
    pub(crate) fn expire(&self, now: Timestamp) {
        self.idle.lock().retain(|_, of_server| {
            of_server.retain(|connection| connection.may_carry(true, now));
            !of_server.is_empty()
        });
    }

    fn pop(&self, server: &InstanceId, addr: SocketAddr, is_idempotent: bool) -> Option<Connection> {
        let now = monotonic_now();
        let mut idle = self.idle.lock();
        let of_server = idle.get_mut(&(server.clone(), addr))?;
        of_server.retain(|connection| connection.may_carry(true, now));
        let fresh = of_server.last()?.may_carry(is_idempotent, now);
        if fresh { of_server.pop() } else { None }
    }
}
