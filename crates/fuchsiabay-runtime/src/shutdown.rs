//! Signals that end a daemon.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::{Stream, StreamExt};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShutdownRequest {
    /// Take no new work, hand queued work back and let running work end.
    Drain,
    /// Stop at once.
    StopNow,
}

/// Turns SIGTERM and SIGINT into orders: the first one drains, every later one stops at once.
pub struct ShutdownSignals<S = Signals> {
    signals: S,
    draining: bool,
}

impl ShutdownSignals {
    /// Takes over SIGTERM and SIGINT of this process.
    pub fn new() -> io::Result<Self> {
        Ok(Self::from_signals(Signals::new([Signal::Term, Signal::Int])?))
    }
}

impl<S: Stream<Item = io::Result<Signal>> + Unpin> ShutdownSignals<S> {
    /// Reads the orders from `signals`.
    pub fn from_signals(signals: S) -> Self {
        Self { signals, draining: false }
    }

    /// Waits for the next order. None stands for the end of the source, which the process's own signals never
    /// reach.
    pub async fn next(&mut self) -> Option<ShutdownRequest> {
        loop {
            match self.signals.next().await? {
                Ok(signal) => return Some(self.order(signal)),
                Err(error) => log::warn!("shutdown: cannot read a signal: {error}"),
            }
        }
    }

    fn order(&mut self, signal: Signal) -> ShutdownRequest {
        if std::mem::replace(&mut self.draining, true) {
            log::warn!("shutdown: received {signal:?} again; stopping now");
            return ShutdownRequest::StopNow;
        }
        log::info!("shutdown: received {signal:?}; draining");
        ShutdownRequest::Drain
    }
}
