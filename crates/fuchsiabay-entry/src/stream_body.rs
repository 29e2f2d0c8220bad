//! A response body that is produced while it is read.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures_lite::{AsyncRead, Stream};

/// Reads the buffers of a stream as one body.
///
/// The stream runs only while the connection takes data, so a slow caller slows only its own stream down, and a caller
/// that is gone drops it.
pub(crate) struct StreamBody<S> {
    stream: Pin<Box<S>>,
    buf: Vec<u8>,
    read: usize,
}

impl<S> StreamBody<S> {
    pub(crate) fn new(stream: S) -> Self {
        Self { stream: Box::pin(stream), buf: Vec::new(), read: 0 }
    }
}

impl<S: Stream<Item = io::Result<Vec<u8>>>> AsyncRead for StreamBody<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        while self.read == self.buf.len() {
            match ready!(self.stream.as_mut().poll_next(cx)) {
                Some(Ok(buf)) => {
                    self.buf = buf;
                    self.read = 0;
                }
                Some(Err(error)) => return Poll::Ready(Err(error)),
                None => return Poll::Ready(Ok(0)),
            }
        }
        let rest = &self.buf[self.read..];
        let n = rest.len().min(out.len());
        out[..n].copy_from_slice(&rest[..n]);
        self.read += n;
        Poll::Ready(Ok(n))
    }
}
