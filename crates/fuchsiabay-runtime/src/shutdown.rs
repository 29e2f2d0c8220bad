//! Signals that shut down a daemon.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::{Stream, StreamExt};

/// The kind of shutdown that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShutdownRequest {
    /// Accept no new requests, hand queued requests back and let running requests finish.
    Drain,
    /// Stop immediately.
    StopNow,
}

/// Turns SIGTERM and SIGINT into shutdown requests: the first signal requests a drain, every later one an immediate
/// stop.
pub struct ShutdownSignals<S = Signals> {
    signals: S,
    draining: bool,
}

impl ShutdownSignals {
    /// Installs handlers for SIGTERM and SIGINT.
    pub fn new() -> io::Result<Self> {
        Ok(Self::from_signals(Signals::new([Signal::Term, Signal::Int])?))
    }
}

impl<S: Stream<Item = io::Result<Signal>> + Unpin> ShutdownSignals<S> {
    /// Reads the signals from the given stream.
    pub fn from_signals(signals: S) -> Self {
        Self { signals, draining: false }
    }

    /// Waits for the next shutdown request. Returns `None` at the end of the stream; the signals of a process have no
    /// end.
    pub async fn next(&mut self) -> Option<ShutdownRequest> {
        loop {
            match self.signals.next().await? {
                Ok(signal) => return Some(self.request_for(signal)),
                Err(error) => log::warn!("shutdown: cannot read a signal: {error}"),
            }
        }
    }

    fn request_for(&mut self, signal: Signal) -> ShutdownRequest {
        if std::mem::replace(&mut self.draining, true) {
            log::warn!("shutdown: received {signal:?} while draining; stopping immediately");
            return ShutdownRequest::StopNow;
        }
        log::info!("shutdown: received {signal:?}; draining");
        ShutdownRequest::Drain
    }
}
