//! A response body that is produced on demand.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures_lite::{AsyncRead, Stream};

/// Adapts a stream of buffers to a body.
///
/// The stream is polled only while the connection accepts data, so a slow caller slows down only its own stream. When
/// the caller disconnects, the stream is dropped.
pub(crate) struct StreamBody<S> {
    stream: Pin<Box<S>>,
    buf: Vec<u8>,
    position: usize,
}

impl<S> StreamBody<S> {
    pub(crate) fn new(stream: S) -> Self {
        Self { stream: Box::pin(stream), buf: Vec::new(), position: 0 }
    }
}

impl<S: Stream<Item = io::Result<Vec<u8>>>> AsyncRead for StreamBody<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, out: &mut [u8]) -> Poll<io::Result<usize>> {
        while self.position == self.buf.len() {
            match ready!(self.stream.as_mut().poll_next(cx)) {
                Some(Ok(buf)) => {
                    self.buf = buf;
                    self.position = 0;
                }
                Some(Err(error)) => return Poll::Ready(Err(error)),
                None => return Poll::Ready(Ok(0)),
            }
        }
        let rest = &self.buf[self.position..];
        let n = rest.len().min(out.len());
        out[..n].copy_from_slice(&rest[..n]);
        self.position += n;
        Poll::Ready(Ok(n))
    }
}
