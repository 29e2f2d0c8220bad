//! Writes a request while its response is read.

use std::{
    future::Future,
    io,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use futures_lite::future;
use smol::io::AsyncWrite;

use super::SocketWriter;

/// A request that is being written to a server. The server may respond before it has read the whole request, and may need the
/// rest of it to end its response.
#[derive(Debug)]
pub(crate) struct Upload {
    writer: SocketWriter,
    is_sent: Arc<AtomicBool>,
    state: State,
}

#[derive(Debug)]
enum State {
    Writing { bytes: Vec<u8>, accepted: usize },
    Complete,
    Failed,
}

impl Upload {
    /// Creates the upload of `bytes`. Sets `is_sent` as soon as the kernel has accepted some of them.
    pub(crate) fn new(writer: SocketWriter, bytes: Vec<u8>, is_sent: Arc<AtomicBool>) -> Self {
        Self { writer, is_sent, state: State::Writing { bytes, accepted: 0 } }
    }

    /// Returns whether the whole request was written.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self.state, State::Complete)
    }

    /// Runs `read` to its end, and writes until then what the server accepts.
    pub(crate) async fn write_during<T>(&mut self, read: impl Future<Output = T>) -> T {
        let mut read = pin!(read);
        future::poll_fn(|cx| {
            self.write(cx);
            read.as_mut().poll(cx)
        })
        .await
    }

    /// Writes as much as the server accepts.
    fn write(&mut self, cx: &mut Context<'_>) {
        if let Poll::Ready(result) = self.poll_write_all(cx) {
            self.state = match result {
                Ok(()) => State::Complete,
                Err(error) => {
                    // A server that responds early may not read the rest of the request. Its response is still valid.
                    log::debug!("upload: cannot write whole request: {error}");
                    State::Failed
                }
            };
        }
    }

    /// Returns Pending also if the upload has ended before.
    fn poll_write_all(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let State::Writing { bytes, accepted } = &mut self.state else {
            return Poll::Pending;
        };
        while *accepted < bytes.len() {
            let n = std::task::ready!(Pin::new(&mut self.writer).poll_write(cx, &bytes[*accepted..]))?;
            if n == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.is_sent.store(true, Ordering::Relaxed);
            *accepted += n;
        }
        Poll::Ready(Ok(()))
    }
}
