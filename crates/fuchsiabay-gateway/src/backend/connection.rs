//! One connection to a backend server.

use std::{io, net::SocketAddr, time::Duration};

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::monotonic_now;
use futures_lite::FutureExt;
use smol::{Timer, net::TcpStream};

use crate::http::{BufferedSocket, ResponseHead};

/// The timeout for opening a connection, in milliseconds. A server in another region responds within 50 ms, and the
/// caller's remaining time is better spent on another server.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// How long an idle connection is kept if the server states no `Keep-Alive` timeout, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 4_000;

/// How long before the server's idle timeout a connection is no longer used, in milliseconds. Client and server start the
/// timeout at different moments.
const IDLE_MARGIN_MS: u64 = 500;

/// The idle time up to which a connection may be used for a non-idempotent request, in milliseconds.
const MAX_IDLE_FOR_NON_IDEMPOTENT_MS: u64 = 400;

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) socket: BufferedSocket,
    pub(crate) opened_at: Timestamp,
    /// When the idle connection expires.
    idle_until: Timestamp,
    idle_since: Timestamp,
}

impl Connection {
    pub(crate) async fn open(addr: SocketAddr) -> io::Result<Self> {
        let connect = TcpStream::connect(addr);
        let timeout = async {
            Timer::after(Duration::from_millis(CONNECT_TIMEOUT_MS)).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = connect.or(timeout).await?;
        let now = monotonic_now();
        Ok(Self { socket: BufferedSocket::new(stream), opened_at: now, idle_until: now, idle_since: now })
    }

    /// Marks the connection as idle. `head` is the response that was read last and may state a `Keep-Alive` timeout.
    pub(crate) fn mark_idle(&mut self, head: &ResponseHead) {
        let now = monotonic_now();
        self.socket.release_buffer();
        self.idle_since = now;
        self.idle_until = now.plus_millis(keep_alive_ms(head));
    }

    /// Returns whether the idle connection may be used for a request.
    pub(crate) fn is_usable(&self, is_idempotent: bool, now: Timestamp) -> bool {
        self.idle_until > now
            && (is_idempotent || now.millis_since(self.idle_since) < MAX_IDLE_FOR_NON_IDEMPOTENT_MS)
    }
}

fn keep_alive_ms(head: &ResponseHead) -> u64 {
    let stated = head.headers.get("keep-alive").and_then(|value| {
        let timeout = value.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u64>().ok()
    });
    stated.map_or(DEFAULT_IDLE_MS, |s| s.saturating_mul(1000).saturating_sub(IDLE_MARGIN_MS))
}
