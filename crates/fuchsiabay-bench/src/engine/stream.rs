//! The byte stream from the engine to one client.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Waker},
};

use futures_lite::AsyncRead;
use parking_lot::Mutex;

#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    Aborted,
}

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    read_len: usize,
    end: Option<StreamEnd>,
    waker: Option<Waker>,
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    is_abandoned: AtomicBool,
}

impl Shared {
    fn update(&self, f: impl FnOnce(&mut Buffer)) {
        let waker = {
            let mut buffer = self.buffer.lock();
            f(&mut buffer);
            buffer.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// The write half of a stream. Dropping it before [`StreamSender::complete`] aborts the stream.
pub(crate) struct StreamSender(Arc<Shared>);

impl StreamSender {
    pub(crate) fn write(&self, f: impl FnOnce(&mut Vec<u8>)) {
        self.0.update(|buffer| f(&mut buffer.bytes));
    }

    pub(crate) fn complete(&self) {
        self.0.update(|buffer| buffer.end = buffer.end.or(Some(StreamEnd::Complete)));
    }

    /// Returns whether the client has disconnected.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.0.is_abandoned.load(Ordering::Relaxed)
    }
}

impl Drop for StreamSender {
    fn drop(&mut self) {
        self.0.update(|buffer| buffer.end = buffer.end.or(Some(StreamEnd::Aborted)));
    }
}

/// The read half of a stream, which is the response body.
pub(crate) struct StreamBody(Arc<Shared>);

impl AsyncRead for StreamBody {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut buffer = self.0.buffer.lock();
        let unread = &buffer.bytes[buffer.read_len..];
        if unread.is_empty() {
            match buffer.end {
                Some(StreamEnd::Complete) => return Poll::Ready(Ok(0)),
                Some(StreamEnd::Aborted) => return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
                None => {
                    buffer.waker = Some(cx.waker().clone());
                    return Poll::Pending;
                }
            }
        }
        let len = unread.len().min(buf.len());
        buf[..len].copy_from_slice(&unread[..len]);
        buffer.read_len += len;
        if buffer.read_len == buffer.bytes.len() {
            buffer.bytes.clear();
            buffer.read_len = 0;
        }
        Poll::Ready(Ok(len))
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.0.is_abandoned.store(true, Ordering::Relaxed);
    }
}

/// Returns the two halves of a new stream.
pub(crate) fn new_stream() -> (StreamSender, StreamBody) {
    let shared = Arc::new(Shared::default());
    (StreamSender(shared.clone()), StreamBody(shared))
}
