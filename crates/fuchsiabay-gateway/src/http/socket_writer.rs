//! The write side of a TCP socket.

use std::{
    io,
    pin::Pin,
    sync::{Arc, OnceLock},
    task::{Context, Poll},
};

use smol::{io::AsyncWrite, net::TcpStream};

/// The write side of a [`BufferedSocket`](super::BufferedSocket). A task can write to it while it waits for input.
///
/// The kernel reports the end of a connection, such as a reset, only once. After a write has got the error, reads would see the
/// end of the stream, as if the peer had ended it in order. So the error is kept for the reader.
#[derive(Clone, Debug)]
pub(crate) struct SocketWriter {
    stream: TcpStream,
    error: Arc<OnceLock<io::ErrorKind>>,
}

impl SocketWriter {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { stream, error: Arc::default() }
    }

    /// Returns the error of a write that has ended the connection before the peer has ended its stream.
    pub(super) fn error(&self) -> Option<io::ErrorKind> {
        self.error.get().copied()
    }

    /// Keeps the error of a write for the reader, except for a broken pipe: the peer has ended its stream before.
    fn record_error<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Err(error)) = &result
            && error.kind() != io::ErrorKind::BrokenPipe
        {
            let _ = self.error.set(error.kind());
        }
        result
    }
}

impl AsyncWrite for SocketWriter {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_error(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        self.record_error(result)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_close(cx);
        self.record_error(result)
    }
}
