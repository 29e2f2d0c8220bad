//! A TCP socket with a read buffer.

use std::{io, sync::Arc, time::Duration};

use futures_lite::future;
use rustix::net::sockopt;
use smol::{
    Async,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::SocketWriter;

/// The maximum number of bytes per read. An event or a small response fits. Idle connections hold no buffer.
const READ_CHUNK_BYTES: usize = 4 * 1024;

/// The time without an acknowledgement after which the kernel closes a connection, in milliseconds. A peer that lost power
/// or is behind a network partition sends no reset.
const TCP_USER_TIMEOUT_MS: u32 = 1_500;

/// The idle time after which the kernel starts to probe the peer, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// The number of reads after which a reader yields.
const READS_PER_YIELD: usize = 16;

/// A TCP socket with a read buffer.
#[derive(Debug)]
pub(crate) struct BufferedSocket {
    stream: TcpStream,
    writer: SocketWriter,
    buf: Vec<u8>,
    /// The start of the bytes in `buf` that were not consumed.
    start: usize,
    /// The number of reads so far.
    reads: usize,
}

impl BufferedSocket {
    /// Wraps a connected socket and sets its options.
    pub(crate) fn new(stream: TcpStream) -> Self {
        if let Err(error) = set_socket_options(&stream) {
            log::debug!("socket: cannot set socket options: {error}");
        }
        let writer = SocketWriter::new(stream.clone());
        Self { stream, writer, buf: Vec::new(), start: 0, reads: 0 }
    }

    /// Returns the bytes that were read and not consumed.
    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buf[self.start..]
    }

    /// Removes `n` bytes from the start of the buffered bytes.
    pub(crate) fn consume(&mut self, n: usize) {
        self.start += n;
        if self.start >= self.buf.len() {
            self.buf.clear();
            self.start = 0;
            self.buf.shrink_to(READ_CHUNK_BYTES);
        }
    }

    /// Frees the buffer if it is empty. Called when the connection becomes idle.
    pub(crate) fn release_buffer(&mut self) {
        if self.buffered().is_empty() {
            self.buf = Vec::new();
            self.start = 0;
        }
    }

    /// Reads once into the buffer. Returns the number of bytes read, 0 if the peer has ended the stream in order.
    ///
    /// Yields from time to time, because a read from a peer that sends without end never waits. Timeouts and other tasks
    /// would otherwise not run.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        self.reads += 1;
        if self.reads.is_multiple_of(READS_PER_YIELD) {
            future::yield_now().await;
        }
        self.read().await
    }

    async fn read(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.start = 0;
        }
        let len = self.buf.len();
        self.buf.resize(len + READ_CHUNK_BYTES, 0);
        let n = TruncateOnDrop { buf: &mut self.buf, len }.read(&mut self.stream).await?;
        match self.writer.error() {
            Some(error) if n == 0 => Err(error.into()),
            _ => Ok(n),
        }
    }

    /// Waits until bytes can be read or the connection is closed.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        let socket: Arc<Async<std::net::TcpStream>> = self.stream.clone().into();
        socket.readable().await
    }

    /// Reads what has already arrived. Returns whether the peer has closed the connection.
    pub(crate) async fn is_closed_by_peer(&mut self) -> bool {
        let result = future::poll_once(self.read()).await;
        matches!(result, Some(Ok(0) | Err(_)))
    }

    /// Returns whether the connection is open and has no bytes to read. A byte that is read by the check is lost, so the
    /// connection must be dropped if this is false.
    pub(crate) async fn is_idle(&mut self) -> bool {
        if !self.buffered().is_empty() {
            return false;
        }
        let mut byte = [0];
        future::poll_once(self.stream.read(&mut byte)).await.is_none()
    }

    /// Keeps the connection open however long the peer reads nothing. A peer that has lost power is then not noticed while
    /// written bytes wait for it.
    ///
    /// The user timeout of the kernel also closes a connection to a peer that is alive and does not read.
    pub(crate) fn disable_user_timeout(&self) {
        if let Err(error) = sockopt::set_tcp_user_timeout(&self.stream, 0) {
            log::debug!("socket: cannot disable user timeout: {error}");
        }
    }

    /// Writes all of `bytes`.
    pub(crate) async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes).await
    }

    /// Returns the write side, so that a task can write while it waits for input.
    pub(crate) fn writer(&self) -> SocketWriter {
        self.writer.clone()
    }

    /// Shuts down the write side.
    pub(crate) async fn close(&mut self) {
        if let Err(error) = self.stream.close().await {
            log::debug!("socket: close failed: {error}");
        }
    }
}

/// Truncates the buffer to the bytes that were read, even if the read is cancelled.
struct TruncateOnDrop<'a> {
    buf: &'a mut Vec<u8>,
    len: usize,
}

impl TruncateOnDrop<'_> {
    async fn read(mut self, stream: &mut TcpStream) -> io::Result<usize> {
        let len = self.len;
        let n = stream.read(&mut self.buf[len..]).await?;
        self.len += n;
        Ok(n)
    }
}

impl Drop for TruncateOnDrop<'_> {
    fn drop(&mut self) {
        self.buf.truncate(self.len);
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    Ok(())
}
