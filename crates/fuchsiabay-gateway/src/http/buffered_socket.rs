//! A socket with what was read from it and not used yet.

use std::{io, sync::Arc, time::Duration};

use futures_lite::future;
use rustix::net::sockopt;
use smol::{
    Async,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Bytes of one read. An event of a stream or a small answer fits, and an idle connection holds no buffer.
const READ_BYTES: usize = 4 * 1024;

/// The time without an acknowledgement after which a connection counts as broken. A peer that lost power or is behind a
/// partition sends no reset.
const USER_TIMEOUT_MS: u32 = 1_500;

/// The time without traffic after which the kernel probes the peer, and the interval of its probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;

/// A socket with a read buffer.
#[derive(Debug)]
pub(crate) struct BufferedSocket {
    stream: TcpStream,
    buf: Vec<u8>,
    start: usize,
}

impl BufferedSocket {
    /// Takes a connected socket over.
    pub(crate) fn new(stream: TcpStream) -> Self {
        if let Err(error) = configure(&stream) {
            log::debug!("socket: cannot set socket options: {error}");
        }
        Self { stream, buf: Vec::new(), start: 0 }
    }

    /// Returns the bytes that were read and not used.
    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buf[self.start..]
    }

    /// Marks `n` bytes as used.
    pub(crate) fn consume(&mut self, n: usize) {
        self.start += n;
        if self.start >= self.buf.len() {
            self.buf.clear();
            self.start = 0;
            self.buf.shrink_to(READ_BYTES);
        }
    }

    /// Gives the buffer back while the connection is idle.
    pub(crate) fn release_buffer(&mut self) {
        if self.buffered().is_empty() {
            self.buf = Vec::new();
            self.start = 0;
        }
    }

    /// Reads once. Returns how many bytes came, 0 at the end.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.start = 0;
        }
        let len = self.buf.len();
        self.buf.resize(len + READ_BYTES, 0);
        ReadGuard { buf: &mut self.buf, len }.read(&mut self.stream).await
    }

    /// Waits until bytes can be read or the connection has ended.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        let socket: Arc<Async<std::net::TcpStream>> = self.stream.clone().into();
        socket.readable().await
    }

    /// Returns whether the peer has neither closed the connection nor sent anything.
    pub(crate) async fn is_idle(&mut self) -> bool {
        if !self.buffered().is_empty() {
            return false;
        }
        let mut byte = [0];
        future::poll_once(self.stream.read(&mut byte)).await.is_none()
    }

    /// Writes all of `bytes`.
    pub(crate) async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns a second handle of the socket, so that one task can write while it waits for bytes to read.
    pub(crate) fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Closes the sending side.
    pub(crate) async fn close(&mut self) {
        if let Err(error) = self.stream.close().await {
            log::debug!("socket: close failed: {error}");
        }
    }
}

/// Cuts the buffer back to the bytes that were read, also when the read is cancelled.
struct ReadGuard<'a> {
    buf: &'a mut Vec<u8>,
    len: usize,
}

impl ReadGuard<'_> {
    async fn read(mut self, stream: &mut TcpStream) -> io::Result<usize> {
        let len = self.len;
        let n = stream.read(&mut self.buf[len..]).await?;
        self.len += n;
        Ok(n)
    }
}

impl Drop for ReadGuard<'_> {
    fn drop(&mut self) {
        self.buf.truncate(self.len);
    }
}

fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    Ok(())
}
