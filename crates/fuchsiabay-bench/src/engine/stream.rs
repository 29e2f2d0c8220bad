//! The byte stream from the batch to one caller.

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
enum Ending {
    Complete,
    Broken,
}

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    read: usize,
    ending: Option<Ending>,
    waker: Option<Waker>,
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    abandoned: AtomicBool,
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

/// The end that the batch writes to. A sender that is dropped before [`StreamSender::complete`] breaks the stream.
pub(crate) struct StreamSender(Arc<Shared>);

impl StreamSender {
    pub(crate) fn write(&self, f: impl FnOnce(&mut Vec<u8>)) {
        self.0.update(|buffer| f(&mut buffer.bytes));
    }

    pub(crate) fn complete(&self) {
        self.0.update(|buffer| buffer.ending = buffer.ending.or(Some(Ending::Complete)));
    }

    /// Returns whether the caller is gone.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.0.abandoned.load(Ordering::Relaxed)
    }
}

impl Drop for StreamSender {
    fn drop(&mut self) {
        self.0.update(|buffer| buffer.ending = buffer.ending.or(Some(Ending::Broken)));
    }
}

/// The response body that the caller reads.
pub(crate) struct StreamBody(Arc<Shared>);

impl AsyncRead for StreamBody {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut buffer = self.0.buffer.lock();
        let waiting = &buffer.bytes[buffer.read..];
        if waiting.is_empty() {
            match buffer.ending {
                Some(Ending::Complete) => return Poll::Ready(Ok(0)),
                Some(Ending::Broken) => return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
                None => {
                    buffer.waker = Some(cx.waker().clone());
                    return Poll::Pending;
                }
            }
        }
        let len = waiting.len().min(buf.len());
        buf[..len].copy_from_slice(&waiting[..len]);
        buffer.read += len;
        if buffer.read == buffer.bytes.len() {
            buffer.bytes.clear();
            buffer.read = 0;
        }
        Poll::Ready(Ok(len))
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.0.abandoned.store(true, Ordering::Relaxed);
    }
}

/// Returns the two ends of a new stream.
pub(crate) fn stream() -> (StreamSender, StreamBody) {
    let shared = Arc::new(Shared::default());
    (StreamSender(shared.clone()), StreamBody(shared))
}
