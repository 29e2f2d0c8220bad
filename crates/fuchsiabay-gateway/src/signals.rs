//! Signal handling.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalAction {
    /// Reload the settings file.
    Reload,
    /// Stop after finishing accepted requests.
    Drain,
}

/// Receives the signals that the process handles.
pub(crate) struct SignalListener(Signals);

impl SignalListener {
    /// Installs handlers for SIGTERM, SIGINT and SIGHUP. Without a handler, SIGHUP would end the process.
    pub(crate) fn new() -> io::Result<Self> {
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map(Self)
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> SignalAction {
        loop {
            match self.0.next().await {
                Some(Ok(Signal::Hup)) => return SignalAction::Reload,
                Some(Ok(_)) => return SignalAction::Drain,
                Some(Err(error)) => log::warn!("signals: failed to receive a signal: {error}"),
                None => futures_lite::future::pending().await,
            }
        }
    }
}
