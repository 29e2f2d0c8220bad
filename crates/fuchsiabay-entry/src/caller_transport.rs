//! The connection of a caller, with a timeout for request heads.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use trillium_server_common::{Acceptor, Transport};

/// The time that a connection may stay open without a request. Load balancers reuse connections for later requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// The end of a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Wraps each accepted connection in a [`CallerTransport`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadTimeoutAcceptor {
    timeout: Duration,
}

/// A connection whose reads fail when a request head takes too long, so that slow heads cannot exhaust the connection
/// limit.
///
/// The body has a timeout of its own, because the handler reads it. The first read after a response waits for the
/// next head.
#[derive(Debug)]
pub(crate) struct CallerTransport<T> {
    inner: T,
    head_timeout: Duration,
    phase: Phase,
}

#[derive(Debug)]
enum Phase {
    /// No byte of the next head has arrived.
    Idle(Timer),
    /// Part of a head has arrived. The last `matched` bytes match the start of [`HEAD_END`].
    Head { timer: Timer, matched: usize },
    /// The head is complete and the response has not begun.
    Serving,
    /// The response has begun.
    Responding,
}

impl HeadTimeoutAcceptor {
    pub(crate) fn new(timeout: Duration) -> Self {
        Self { timeout }
    }
}

impl<T: Transport> Acceptor<T> for HeadTimeoutAcceptor {
    type Output = CallerTransport<T>;
    type Error = std::convert::Infallible;

    async fn accept(&self, inner: T) -> Result<Self::Output, Self::Error> {
        // A new connection has a request to send, so the timeout of its first head starts at once.
        let phase = Phase::Head { timer: Timer::after(self.timeout), matched: 0 };
        Ok(CallerTransport { inner, head_timeout: self.timeout, phase })
    }

    fn is_secure(&self) -> bool {
        false
    }
}

impl<T> CallerTransport<T> {
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match &mut self.phase {
            Phase::Idle(timer) | Phase::Head { timer, .. } => Pin::new(timer).poll(cx).map(drop),
            Phase::Serving | Phase::Responding => Poll::Pending,
        }
    }

    fn track_head(&mut self, bytes: &[u8]) {
        if let Phase::Idle(_) = self.phase {
            self.phase = Phase::Head { timer: Timer::after(self.head_timeout), matched: 0 };
        }
        let Phase::Head { matched, .. } = &mut self.phase else {
            return;
        };
        for &byte in bytes {
            *matched = next_matched_len(*matched, byte);
            if *matched == HEAD_END.len() {
                self.phase = Phase::Serving;
                return;
            }
        }
    }
}

/// Returns how many bytes of [`HEAD_END`] match after `byte`, given that `matched` bytes matched before it.
fn next_matched_len(matched: usize, byte: u8) -> usize {
    match byte {
        _ if byte == HEAD_END[matched] => matched + 1,
        b'\r' => 1,
        _ => 0,
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CallerTransport<T> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        if let Phase::Responding = self.phase {
            self.phase = Phase::Idle(Timer::after(IDLE_TIMEOUT));
        }
        if let Poll::Ready(read) = Pin::new(&mut self.inner).poll_read(cx, buf) {
            if let Ok(n) = read {
                self.track_head(&buf[..n]);
            }
            return Poll::Ready(read);
        }
        self.poll_timeout(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CallerTransport<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.phase = Phase::Responding;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.phase = Phase::Responding;
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

impl<T: Transport> Transport for CallerTransport<T> {
    fn set_linger(&mut self, linger: Option<Duration>) -> io::Result<()> {
        self.inner.set_linger(linger)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.inner.set_nodelay(nodelay)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.inner.set_ip_ttl(ttl)
    }

    fn peer_addr(&self) -> io::Result<Option<std::net::SocketAddr>> {
        self.inner.peer_addr()
    }

    /// Reports HTTP/1.1, so that no connection is handled as HTTP/2, whose streams the limits on connections and heads
    /// do not cover.
    fn negotiated_alpn(&self) -> Option<std::borrow::Cow<'_, [u8]>> {
        Some(std::borrow::Cow::Borrowed(b"http/1.1"))
    }
}
