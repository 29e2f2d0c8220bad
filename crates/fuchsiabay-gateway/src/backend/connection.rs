//! One connection to a backend server.

use std::{io, net::SocketAddr, time::Duration};

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::monotonic_now;
use futures_lite::FutureExt;
use smol::{Timer, net::TcpStream};

use crate::http::{BufferedSocket, ResponseHead};

/// The time after which opening a connection is given up, in milliseconds. A server in another region answers within
/// 50 ms, and the caller's remaining time is worth more at another server.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// The time for which an idle connection is kept when the server states none, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 4_000;

/// The part of the server's idle timeout that is not used, in milliseconds, because both clocks run from different
/// moments.
const IDLE_MARGIN_MS: u64 = 500;

/// The idle time up to which a connection may carry a request that must not be repeated, in milliseconds.
const FRESH_MS: u64 = 400;

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) socket: BufferedSocket,
    /// Until when it may be used again. Set when it becomes idle.
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
        Ok(Self { socket: BufferedSocket::new(stream), idle_until: now, idle_since: now })
    }

    /// Marks the connection as idle after the response `head`.
    pub(crate) fn rest(&mut self, head: &ResponseHead) {
        let now = monotonic_now();
        self.socket.release_buffer();
        self.idle_since = now;
        self.idle_until = now.plus_millis(idle_ms(head));
    }

    /// Returns whether a request may be sent on the idle connection.
    pub(crate) fn may_carry(&self, is_idempotent: bool, now: Timestamp) -> bool {
        self.idle_until > now && (is_idempotent || now.millis_since(self.idle_since) < FRESH_MS)
    }
}

fn idle_ms(head: &ResponseHead) -> u64 {
    let stated = head.headers.get("keep-alive").and_then(|value| {
        let timeout = value.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u64>().ok()
    });
    stated.map_or(DEFAULT_IDLE_MS, |s| (s * 1000).saturating_sub(IDLE_MARGIN_MS))
}
